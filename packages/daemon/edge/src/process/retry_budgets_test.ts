import test from "ava";
import { createRetryBudgets } from "./retry_budgets.ts";

const BOUNDS = {
  retryRatio: 0.2,
  retryExtra: 112,
  retryWindowMs: 10_000,
  graceMs: 6_000,
  lookupTtlMaxS: 5,
  configurationApplyMs: 2_500,
};

test("guards against entries that together exceed the installation's retry budget", (t) => {
  for (const entries of [8, 16, 140]) {
    let requests = 0;
    let retries = 0;
    for (let entry = 0; entry < entries; entry++) {
      const budgets = createRetryBudgets({
        bounds: BOUNDS,
        countEntries: () => entries,
      });
      for (let index = 0; index < 50; index++) {
        budgets.recordRequest("desk");
        requests += 1;
        while (budgets.takeRetry("desk")) retries += 1;
      }
    }
    const bound = BOUNDS.retryRatio * requests + BOUNDS.retryExtra;
    t.true(retries <= bound, `${retries} of ${bound} at ${entries} entries`);
    t.true(retries >= 0.5 * BOUNDS.retryRatio * requests);
  }
});

// Entries that are no longer seen may still serve, and retry.
test("guards against a budget that grows when fewer entries are seen", (t) => {
  let seen = 16;
  const budgets = createRetryBudgets({
    bounds: BOUNDS,
    countEntries: () => seen,
  });
  budgets.recordRequest("desk");
  seen = 1;
  budgets.recordRequest("desk");
  let retries = 0;
  while (budgets.takeRetry("desk")) retries += 1;
  t.true(retries <= BOUNDS.retryExtra / 16 + 1);
});
