import test from "ava";
import fc from "fast-check";
import { computeBackoffMs, createRetryBudget } from "./mod.ts";

const SEED = 20261204;

// Counters are bucketed, so retries must count for too long rather than too
// short, and requests the other way round.
test("guards against more retries than the ratio and floor in any window", (t) => {
  const property = fc.property(
    fc.record({
      ratio: fc.constantFrom(0, 0.1, 0.5),
      floor: fc.integer({ min: 0, max: 4 }),
      windowMs: fc.constantFrom(100, 1000),
    }),
    fc.array(
      fc.tuple(fc.boolean(), fc.integer({ min: 0, max: 60 })),
      { minLength: 20, maxLength: 200, size: "max" },
    ),
    (limits, steps) => {
      const budget = createRetryBudget({ limits });
      const requests: number[] = [];
      const retries: number[] = [];
      let now = 0;
      for (const [isRequest, waitMs] of steps) {
        now += waitMs;
        if (isRequest) requests.push(now);
        const [action] = isRequest
          ? budget.handle({ type: "request" }, now)
          : budget.handle({ type: "retry", id: "r" }, now);
        if (action?.type !== "granted") continue;
        retries.push(now);
        const count = (times: number[]) =>
          times.filter((atMs) => atMs >= now - limits.windowMs).length;
        const bound = limits.ratio * count(requests) + limits.floor;
        if (count(retries) > bound) throw new Error(`Over ${bound} at ${now}`);
      }
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 500, includeErrorInReport: true });

  const limits = { ratio: 0.1, floor: 3, windowMs: 10_000 };
  const budget = createRetryBudget({ limits });
  for (let n = 0; n < 100; n++) budget.handle({ type: "request" }, n);
  t.is(budget.getRemaining(100), 13);
});

// The wait must be random, grow up to its bound and never undercut
// retryAfterMs.
test("guards against callers that return at the same time or too early", (t) => {
  const options = { random: () => 0, baseMs: 100, maxMs: 1000 };
  t.is(computeBackoffMs(1, options), 50);
  t.is(computeBackoffMs(3, options), 200);
  t.is(computeBackoffMs(99, { ...options, random: () => 0.5 }), 750);
  t.is(computeBackoffMs(1, { ...options, retryAfterMs: 900 }), 950);
});
