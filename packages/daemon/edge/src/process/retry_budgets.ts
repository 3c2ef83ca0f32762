/**
 * Limits retries per service, so that all entries together stay within the
 * installation's retry budget.
 *
 * @module
 */

import { createRetryBudget } from "@dotterelmoor/core.retrying";
import type { RetryBudget } from "@dotterelmoor/core.retrying";
import type { RetryLimits } from "@dotterelmoor/core.types";
import type { EdgeBounds } from "../ports.ts";

/** Share of the budget that is used, because the count of entries is
 * imprecise. */
const USED_SHARE = 0.8;

/** Least number of entries among which the fixed part of the budget is divided:
 * an entry that has just started knows no others. */
const MIN_ENTRIES = 8;

/** Retry budgets of one entry, by service. */
export interface RetryBudgets {
  /** Records a first attempt, which adds to the budget. */
  recordRequest(service: string): void;
  /** Takes one retry; false if the budget is spent. */
  takeRetry(service: string): boolean;
}

/** Creates the budgets. The fixed part is divided among the largest number of
 * entries seen so far: an entry that is no longer seen may still serve. */
export function createRetryBudgets(options: {
  readonly bounds: EdgeBounds;
  readonly countEntries: () => number;
}): RetryBudgets {
  const budgets = new Map<string, RetryBudget>();
  let entries = MIN_ENTRIES;
  const buildLimits = (): RetryLimits => ({
    ratio: options.bounds.retryRatio * USED_SHARE,
    floor: options.bounds.retryExtra * USED_SHARE / entries,
    windowMs: options.bounds.retryWindowMs,
  });
  const getBudget = (service: string): RetryBudget => {
    const counted = options.countEntries();
    if (counted > entries) {
      entries = counted;
      const limits = buildLimits();
      for (const budget of budgets.values()) {
        budget.handle({ type: "settings", limits }, performance.now());
      }
    }
    let budget = budgets.get(service);
    if (budget === undefined) {
      budget = createRetryBudget({ limits: buildLimits() });
      budgets.set(service, budget);
    }
    return budget;
  };
  return {
    recordRequest: (service) => {
      getBudget(service).handle({ type: "request" }, performance.now());
    },
    takeRetry: (service) => {
      const [action] = getBudget(service).handle(
        { type: "retry", id: service },
        performance.now(),
      );
      return action?.type === "granted";
    },
  };
}
