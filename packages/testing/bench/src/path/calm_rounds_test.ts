import test from "ava";
import { runCalmRounds } from "./calm_rounds.ts";
import type { MeasuredRound } from "./calm_rounds.ts";

interface Round extends MeasuredRound {
  readonly ratio: number;
}

/** Selects 3 of the given rounds; returns their ratios and the runs needed. */
async function run(plannedRounds: readonly Round[]) {
  let count = 0;
  const rounds = await runCalmRounds({
    rounds: 3,
    maxRounds: plannedRounds.length,
    runRound: () => Promise.resolve(plannedRounds[count++]!),
  });
  return { ratios: rounds.map(({ ratio }) => ratio), count };
}

// A fault that shows in some rounds must not disappear by running more rounds.
test("guards against rounds that are chosen by their result", async (t) => {
  const { ratios, count } = await run([
    { workDelayMs: 1, ratio: 9 },
    { workDelayMs: 2, ratio: 9 },
    { workDelayMs: 3, ratio: 9 },
    { workDelayMs: 0, ratio: 1 },
  ]);
  t.deepEqual(ratios, [9, 9, 9]);
  t.is(count, 3);
});

// Rounds with long work delays also have bad ratios here.
test("guards against rounds that count although other load disturbed them", async (t) => {
  const { ratios, count } = await run([
    { workDelayMs: 40, ratio: 9 },
    { workDelayMs: 1, ratio: 1 },
    { workDelayMs: 90, ratio: 9 },
    { workDelayMs: 1, ratio: 2 },
    { workDelayMs: 1, ratio: 3 },
    { workDelayMs: 1, ratio: 4 },
  ]);
  t.deepEqual(ratios, [1, 2, 3]);
  t.is(count, 5);
});

// On a machine that is never calm, the calmest rounds count.
test("guards against a benchmark that passes without a round", async (t) => {
  const { ratios, count } = await run([
    { workDelayMs: 40, ratio: 4 },
    { workDelayMs: 10, ratio: 1 },
    { workDelayMs: 30, ratio: 3 },
    { workDelayMs: 20, ratio: 2 },
  ]);
  t.deepEqual(ratios, [1, 2, 3]);
  t.is(count, 4);
});
