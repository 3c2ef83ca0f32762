/**
 * Timeout of a network call.
 *
 * @module
 */

/** A running timeout. */
export interface Timeout {
  /** Cancels the timeout; the callback is not called afterwards. */
  stop(): void;
}

/**
 * Starts a timeout of `ms` milliseconds. The callback runs only after the
 * sockets have been read: in a turn of the event loop, timers run first, even
 * those that are long overdue.
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
