/**
 * Limits the number of concurrent calls.
 *
 * @module
 */

/** Grants a fixed number of permits in order of arrival. */
export class Semaphore {
  readonly #waiting = new Set<() => void>();
  #available: number;

  constructor(permits: number) {
    this.#available = permits;
  }

  /**
   * Waits for a permit and resolves to a function that releases it. Throws
   * the signal's reason when aborted.
   */
  take(signal: AbortSignal): Promise<() => void> {
    signal.throwIfAborted();
    if (this.#available > 0) {
      this.#available -= 1;
      return Promise.resolve(this.#createRelease());
    }
    return new Promise((resolve, reject) => {
      const handleAbort = () => {
        this.#waiting.delete(grant);
        reject(signal.reason);
      };
      const grant = () => {
        signal.removeEventListener("abort", handleAbort);
        resolve(this.#createRelease());
      };
      this.#waiting.add(grant);
      signal.addEventListener("abort", handleAbort, { once: true });
    });
  }

  #createRelease(): () => void {
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      const [next] = this.#waiting;
      if (next === undefined) {
        this.#available += 1;
        return;
      }
      this.#waiting.delete(next);
      next();
    };
  }
}
