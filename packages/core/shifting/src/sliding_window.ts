/**
 * Sliding-window counter that never undercounts.
 *
 * @module
 */

/** Buckets per window; admissions count up to 1/64 of the window too long. */
const BUCKETS_PER_WINDOW = 64;

interface Bucket {
  readonly startMs: number;
  /** Time of the latest admission in the bucket. */
  lastMs: number;
  count: number;
}

/**
 * Sliding window with bounded memory. Admissions close in time share a bucket,
 * which counts until the window has passed for the latest of them.
 */
export class SlidingWindow {
  #windowMs: number;
  #buckets: Bucket[] = [];
  #used = 0;
  /** Time up to which admissions are unknown or no longer recorded. */
  #unknownUntilMs: number;

  constructor(windowMs: number, startedAtMs: number) {
    this.#windowMs = windowMs;
    this.#unknownUntilMs = startedAtMs;
  }

  add(nowMs: number): void {
    const last = this.#buckets.at(-1);
    const widthMs = this.#windowMs / BUCKETS_PER_WINDOW;
    this.#used += 1;
    if (last !== undefined && nowMs - last.startMs < widthMs) {
      last.lastMs = nowMs;
      last.count += 1;
    } else {
      this.#buckets.push({ startMs: nowMs, lastMs: nowMs, count: 1 });
    }
  }

  /** Removes an admission of the given time if it still counts. */
  remove(atMs: number): void {
    const bucket = this.#buckets.find(({ startMs, lastMs }) =>
      startMs <= atMs && atMs <= lastMs
    );
    if (bucket === undefined || bucket.count === 0) return;
    bucket.count -= 1;
    this.#used -= 1;
  }

  /**
   * Returns the number of admissions in the window, `Infinity` while part of
   * the window is unknown. Both ends of the window are inclusive.
   */
  getUsed(nowMs: number): number {
    while (this.#buckets[0] !== undefined) {
      if (this.#buckets[0].lastMs + this.#windowMs >= nowMs) break;
      const { lastMs, count } = this.#buckets.shift()!;
      this.#unknownUntilMs = lastMs;
      this.#used -= count;
    }
    const isKnown = this.#unknownUntilMs + this.#windowMs < nowMs;
    return isKnown ? this.#used : Infinity;
  }

  /** Returns the time until at most the given number of admissions count. */
  getWaitMs(allowed: number, nowMs: number): number {
    const unknownMs = this.#unknownUntilMs + this.#windowMs - nowMs;
    let used = this.#used;
    for (const { lastMs, count } of this.#buckets) {
      if (used <= allowed) break;
      used -= count;
      const waitMs = lastMs + this.#windowMs - nowMs;
      if (used <= allowed) return Math.max(waitMs, unknownMs, 0);
    }
    return Math.max(unknownMs, 0);
  }

  /** Changes the length; a longer window may include unknown times. */
  setWindowMs(windowMs: number): void {
    this.#windowMs = windowMs;
  }
}
