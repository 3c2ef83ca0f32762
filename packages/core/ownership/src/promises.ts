/**
 * Promises that this process granted as a deputy.
 *
 * @module
 */

/** Promises not to take over, timed on the own clock from receipt. */
export class GrantedPromises {
  readonly #untilMs = new Map<string, number>();

  /** Records a promise; a later promise never shortens an earlier one. */
  add(resource: string, untilMs: number): void {
    this.#untilMs.set(resource, Math.max(this.getEndMs(resource), untilMs));
  }

  /** Returns when the promise on a resource ends, 0 if there is none. */
  getEndMs(resource: string): number {
    return this.#untilMs.get(resource) ?? 0;
  }

  /** Forgets promises that have ended. */
  expire(nowMs: number): void {
    for (const [resource, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs) this.#untilMs.delete(resource);
    }
  }
}
