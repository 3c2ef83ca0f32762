/**
 * The times of a graceful shutdown.
 *
 * @module
 */

/** Share of the grace period after which requests are refused. By then, most
 * callers have moved to other entries; the rest of the period is left for
 * requests in flight to finish. */
const ACCEPT_SHARE = 0.45;

/** Share of the grace period after which no new connection is accepted: by
 * then, callers have looked up entries again. */
const LISTEN_SHARE = 0.7;

/** Time in milliseconds before the end of the grace period at which the process
 * exits, because timers fire late on a busy instance. */
export const EXIT_MARGIN_MS = 500;

/** Monotonic times in milliseconds of a graceful shutdown. */
export interface GracePeriod {
  /** From this time on, every request is refused. */
  readonly refusesAtMs: number;
  /** From this time on, no connection is accepted. */
  readonly closesAtMs: number;
  /** From this time on, requests in flight are not waited for. */
  readonly endsAtMs: number;
}

/** Computes the times of a shutdown that starts now. */
export function computeGracePeriod(graceMs: number): GracePeriod {
  const nowMs = performance.now();
  return {
    refusesAtMs: nowMs + ACCEPT_SHARE * graceMs,
    closesAtMs: nowMs + LISTEN_SHARE * graceMs,
    endsAtMs: nowMs + graceMs - EXIT_MARGIN_MS,
  };
}
