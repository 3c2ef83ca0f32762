/**
 * Limits the number of concurrent calls.
 *
 * @module
 */

/** Grants a fixed number of permits in order of arrival. */
export class Gate {
  readonly #waiting = new Set<() => void>();
  #free: number;

  constructor(places: number) {
    this.#free = places;
  }

  /**
   * Waits for a permit and resolves to a function that releases it. Throws
   * the signal's reason when aborted.
   */
  take(signal: AbortSignal): Promise<() => void> {
    signal.throwIfAborted();
    if (this.#free > 0) {
      this.#free -= 1;
      return Promise.resolve(this.#makeRelease());
    }
    return new Promise((resolve, reject) => {
      const handleAbort = () => {
        this.#waiting.delete(takeTurn);
        reject(signal.reason);
      };
      const takeTurn = () => {
        signal.removeEventListener("abort", handleAbort);
        resolve(this.#makeRelease());
      };
      this.#waiting.add(takeTurn);
      signal.addEventListener("abort", handleAbort, { once: true });
    });
  }

  #makeRelease(): () => void {
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      const [next] = this.#waiting;
      if (next === undefined) {
        this.#free += 1;
        return;
      }
      this.#waiting.delete(next);
      next();
    };
  }
}
