/**
 * Promises that this process gave as a deputy.
 *
 * @module
 */

/** Promises not to take over, counted on the own clock from their receipt. */
export class GivenPromises {
  readonly #untilMs = new Map<string, number>();

  /** Records a promise; a later one only ever lengthens it. */
  add(resource: string, untilMs: number): void {
    this.#untilMs.set(resource, Math.max(this.endMs(resource), untilMs));
  }

  /** End of the promise on a resource, 0 if there is none. */
  endMs(resource: string): number {
    return this.#untilMs.get(resource) ?? 0;
  }

  /** Forgets promises that have ended. */
  expire(nowMs: number): void {
    for (const [resource, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs) this.#untilMs.delete(resource);
    }
  }
}
