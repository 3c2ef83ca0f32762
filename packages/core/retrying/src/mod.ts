/**
 * Retry budget and backoff.
 *
 * @module
 */

export { computeBackoffMs } from "./backoff.ts";
export type { BackoffOptions } from "./backoff.ts";
export { createRetryBudget } from "./retry_budget.ts";
export type {
  RetryAction,
  RetryBudget,
  RetryBudgetOptions,
  RetryEvent,
} from "./retry_budget.ts";
