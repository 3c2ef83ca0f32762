/**
 * Bounds retries to a share of the requests in a sliding window.
 *
 * @module
 */

import type { RetryLimits, StateMachine } from "@dotterelmoor/core.types";

/** Input of the retry budget. */
export type RetryEvent =
  | {
    /** A first attempt, which adds to the budget. */
    readonly type: "request";
  }
  | {
    /** Asks for a retry; answered by `granted` or `denied`. */
    readonly type: "retry";
    readonly id: string;
  }
  | { readonly type: "settings"; readonly limits: RetryLimits };

/** Output of the retry budget. */
export type RetryAction =
  | { readonly type: "granted"; readonly id: string }
  | { readonly type: "denied"; readonly id: string };

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  readonly limits: RetryLimits;
}

/** Retry budget of one service in one region. */
export interface RetryBudget extends StateMachine<RetryEvent, RetryAction> {
  /** Retries that would be granted now. */
  getRoom(nowMs: number): number;
}

/** Creates a retry budget. */
export function createRetryBudget(_options: RetryBudgetOptions): RetryBudget {
  throw new Error("Not implemented");
}
