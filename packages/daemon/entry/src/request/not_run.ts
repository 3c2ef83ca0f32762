/**
 * Outcome of requests that certainly did not run.
 *
 * @module
 */

import type { NotRun, NotRunReason } from "@dotterelmoor/core.types";

/** Builds the outcome of a request that certainly did not run. */
export function makeNotRun(reason: NotRunReason, retryAfterMs: number): NotRun {
  return { type: "not-run", reason, retryAfterMs };
}
