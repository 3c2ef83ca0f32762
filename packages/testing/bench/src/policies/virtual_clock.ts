/**
 * Virtual clock for simulations; runs callbacks in the order of their time.
 *
 * @module
 */

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Virtual clock with a binary heap of timers. */
export class VirtualClock {
  #heap: Timer[] = [];
  #order = 0;
  #nowMs = 0;

  /** Current virtual time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Schedules a callback; equal times run in order of scheduling. */
  runAt(atMs: number, callback: () => void): void {
    const timer = { atMs, order: this.#order++, callback };
    const heap = this.#heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent]!, timer)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  /** Schedules a callback after a delay. */
  runAfter(delayMs: number, callback: () => void): void {
    this.runAt(this.#nowMs + delayMs, callback);
  }

  /** Runs the callbacks due until `endMs` and advances the clock to it. */
  runUntil(endMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.atMs <= endMs) {
      const timer = this.#takeFirst();
      this.#nowMs = timer.atMs;
      timer.callback();
    }
    this.#nowMs = endMs;
  }

  #takeFirst(): Timer {
    const heap = this.#heap;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right !== undefined && isBefore(right, heap[child]!)) child += 1;
      if (isBefore(last, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(left: Timer, right: Timer): boolean {
  return left.atMs < right.atMs ||
    (left.atMs === right.atMs && left.order < right.order);
}
