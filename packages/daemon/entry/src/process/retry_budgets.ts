/**
 * Retry budgets per service, used by the front entry.
 *
 * @module
 */

import { createRetryBudget } from "@dotterelmoor/core.retrying";
import type { RetryBudget } from "@dotterelmoor/core.retrying";
import type { RetryLimits } from "@dotterelmoor/core.types";

/** Options of `createRetryBudgets`. */
export interface RetryBudgetsOptions {
  readonly nowMs: () => number;
  readonly findLimits: (service: string) => RetryLimits | undefined;
}

/** Retry budgets by service. */
export interface RetryBudgets {
  recordRequest(service: string): void;
  /** Takes a retry from the budget; false if there is none. */
  takeRetry(service: string): boolean;
}

/** Creates the budgets; limits are read when a service is first used. */
export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
  const budgets = new Map<string, RetryBudget>();

  function getBudget(service: string): RetryBudget | undefined {
    const existing = budgets.get(service);
    if (existing !== undefined) return existing;
    const limits = options.findLimits(service);
    if (limits === undefined) return undefined;
    const budget = createRetryBudget({ limits });
    budgets.set(service, budget);
    return budget;
  }

  return {
    recordRequest: (service) => {
      getBudget(service)?.handle({ type: "request" }, options.nowMs());
    },
    takeRetry: (service) => {
      const event = { type: "retry", id: service } as const;
      const actions = getBudget(service)?.handle(event, options.nowMs());
      return actions?.some(({ type }) => type === "granted") ?? false;
    },
  };
}
