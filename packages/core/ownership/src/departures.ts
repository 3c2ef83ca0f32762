/**
 * Times at which the platform's list last showed each instance.
 *
 * @module
 */

/** Time after the list last showed an instance at which it is forgotten. */
const FORGET_MS = 24 * 3_600_000;

/** Records when the list last showed each instance. */
export class Departures {
  readonly #shownMs = new Map<string, number>();
  #firstListMs = Infinity;
  #lastListMs = -Infinity;

  /** Records the current list. */
  update(ids: readonly string[], nowMs: number): void {
    this.#firstListMs = Math.min(this.#firstListMs, nowMs);
    this.#lastListMs = nowMs;
    for (const id of ids) this.#shownMs.set(id, nowMs);
    for (const [id, shownMs] of this.#shownMs) {
      if (nowMs - shownMs > FORGET_MS) this.#shownMs.delete(id);
    }
  }

  /** Returns true if a list within the last day showed the instance. */
  has(instance: string): boolean {
    return this.#shownMs.has(instance);
  }

  /**
   * Returns the time in milliseconds from the list that last showed the
   * instance (or the first list) to the latest list.
   */
  computeAbsenceMs(instance: string): number {
    const sinceMs = this.#shownMs.get(instance) ?? this.#firstListMs;
    return this.#lastListMs - sinceMs;
  }
}
