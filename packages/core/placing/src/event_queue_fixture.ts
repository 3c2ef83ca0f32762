/**
 * Priority queue of events in simulated time.
 *
 * @module
 */

/** An event at a simulated time in milliseconds. */
export interface TimedEvent {
  readonly atMs: number;
  readonly act: () => void;
}

/** Binary heap of events, the earliest first. */
export class EventQueue {
  readonly #heap: TimedEvent[] = [];

  push(atMs: number, act: () => void): void {
    const heap = this.#heap;
    heap.push({ atMs, act });
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (heap[parent]!.atMs <= heap[index]!.atMs) break;
      [heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
      index = parent;
    }
  }

  pop(): TimedEvent | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (heap.length === 0 || last === undefined) return first;
    heap[0] = last;
    let index = 0;
    while (true) {
      const left = 2 * index + 1;
      let least = index;
      for (const child of [left, left + 1]) {
        if (child < heap.length && heap[child]!.atMs < heap[least]!.atMs) {
          least = child;
        }
      }
      if (least === index) return first;
      [heap[index], heap[least]] = [heap[least]!, heap[index]!];
      index = least;
    }
  }
}
