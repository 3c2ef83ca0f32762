/**
 * Bounds how many calls are in progress at once.
 *
 * @module
 */

/** Hands out a fixed number of places in order of arrival. */
export interface Gate {
  /** Waits for a place and returns its release; throws when aborted. */
  take(signal: AbortSignal): Promise<() => void>;
}

/** Creates a gate with the given number of places. */
export function createGate(places: number): Gate {
  let free = places;
  const waiting = new Set<() => void>();

  function releaseOnce(): () => void {
    let released = false;
    return () => {
      if (released) return;
      released = true;
      const [next] = waiting;
      if (next === undefined) {
        free += 1;
        return;
      }
      waiting.delete(next);
      next();
    };
  }

  return {
    take: (signal) => {
      signal.throwIfAborted();
      if (free > 0) {
        free -= 1;
        return Promise.resolve(releaseOnce());
      }
      return new Promise((resolve, reject) => {
        function abort(): void {
          waiting.delete(admit);
          reject(signal.reason);
        }
        function admit(): void {
          signal.removeEventListener("abort", abort);
          resolve(releaseOnce());
        }
        waiting.add(admit);
        signal.addEventListener("abort", abort, { once: true });
      });
    },
  };
}
