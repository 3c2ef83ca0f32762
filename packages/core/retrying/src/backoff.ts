/**
 * Backoff between attempts.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";

/** Settings of the backoff. */
export interface BackoffOptions {
  readonly random: Random;
  /** Upper bound of the first wait. */
  readonly baseMs: number;
  readonly maxMs: number;
  /** Time that the other side asked for; the wait is never shorter. */
  readonly retryAfterMs?: number;
}

/**
 * Computes the wait before an attempt, counted from 1 for the first retry.
 * The wait doubles with each attempt and is spread over its upper half, so that
 * callers that failed together do not come back together.
 */
export function computeBackoffMs(
  attempt: number,
  options: BackoffOptions,
): number {
  const exponent = Math.min(Math.max(attempt, 1) - 1, 52);
  const boundMs = Math.min(options.maxMs, options.baseMs * 2 ** exponent);
  const spreadMs = boundMs * (0.5 + options.random() / 2);
  return (options.retryAfterMs ?? 0) + spreadMs;
}
