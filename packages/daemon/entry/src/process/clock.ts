/**
 * Clocks of the process.
 *
 * @module
 */

/** Reads the time. */
export interface Clock {
  /** Monotonic time in milliseconds; advances while the process is stopped. */
  nowMs(): number;
  /** Wall-clock time in milliseconds since 1970, for shared values. */
  wallMs(): number;
}

/** Creates the clock of the process. */
export function createClock(): Clock {
  return { nowMs: () => performance.now(), wallMs: () => Date.now() };
}
