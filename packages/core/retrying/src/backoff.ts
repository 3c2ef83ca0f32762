/**
 * Backoff between attempts.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";

/** Options of {@linkcode computeBackoffMs}. */
export interface BackoffOptions {
  readonly random: Random;
  /** Upper bound of the first wait. */
  readonly baseMs: number;
  /** Upper bound of every wait, to which `retryAfterMs` is added. */
  readonly maxMs: number;
  /** Minimum wait that the server requested; added to the computed wait. */
  readonly retryAfterMs?: number;
}

/**
 * Computes the wait in milliseconds before an attempt, counted from 1 for the
 * first retry. The wait doubles with each attempt and is randomized over its
 * upper half, so that callers that failed together don't retry together.
 */
export function computeBackoffMs(
  attempt: number,
  options: BackoffOptions,
): number {
  const exponent = Math.min(Math.max(attempt, 1) - 1, 52);
  const boundMs = Math.min(options.maxMs, options.baseMs * 2 ** exponent);
  const jitteredMs = boundMs * (0.5 + options.random() / 2);
  return (options.retryAfterMs ?? 0) + jitteredMs;
}
