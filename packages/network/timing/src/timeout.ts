/**
 * One timeout of a network call.
 *
 * @module
 */

/** A running timeout. */
export interface Timeout {
  /** Ends it; the callback is not called any more. */
  stop(): void;
}

/**
 * Calls back after a time in milliseconds, and after the sockets were read: the
 * event loop runs timers first, also those that were due long ago.
 */
export function startTimeout(onTimeout: () => void, ms: number): Timeout {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(onTimeout);
  }, ms);
  return {
    stop: () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
  };
}
