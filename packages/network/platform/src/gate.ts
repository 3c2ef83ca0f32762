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
        function handleAbort(): void {
          waiting.delete(takeTurn);
          reject(signal.reason);
        }
        function takeTurn(): void {
          signal.removeEventListener("abort", handleAbort);
          resolve(releaseOnce());
        }
        waiting.add(takeTurn);
        signal.addEventListener("abort", handleAbort, { once: true });
      });
    },
  };
}
