/**
 * Instances that the platform's list no longer shows.
 *
 * @module
 */

/** Instances are forgotten a day after the list last showed them. */
const FORGET_MS = 24 * 3_600_000;

/** Remembers when the list last showed each instance. */
export class Departures {
  readonly #shownMs = new Map<string, number>();
  #firstListMs = Infinity;
  #lastListMs = -Infinity;

  /** Records the list as it is now. */
  update(ids: readonly string[], nowMs: number): void {
    this.#firstListMs = Math.min(this.#firstListMs, nowMs);
    this.#lastListMs = nowMs;
    for (const id of ids) this.#shownMs.set(id, nowMs);
    for (const [id, shownMs] of this.#shownMs) {
      if (nowMs - shownMs > FORGET_MS) this.#shownMs.delete(id);
    }
  }

  /** Tells whether this process has seen the instance in the list. */
  has(instance: string): boolean {
    return this.#shownMs.has(instance);
  }

  /** Time between the first and the last list without the instance. */
  absentMs(instance: string): number {
    const sinceMs = this.#shownMs.get(instance) ?? this.#firstListMs;
    return this.#lastListMs - sinceMs;
  }
}
