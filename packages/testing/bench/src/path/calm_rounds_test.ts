import test from "ava";
import { runCalmRounds } from "./calm_rounds.ts";
import type { MeasuredRound } from "./calm_rounds.ts";

interface Round extends MeasuredRound {
  readonly ratio: number;
}

/** Runs rounds of the given delays and ratios; counts those that were run. */
async function run(played: readonly Round[]) {
  let count = 0;
  const rounds = await runCalmRounds({
    rounds: 3,
    maxRounds: played.length,
    runRound: () => Promise.resolve(played[count++]!),
  });
  return { ratios: rounds.map(({ ratio }) => ratio), count };
}

// A fault that shows in some rounds must not be played again until it hides.
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

test("guards against rounds that count while others have the processors", async (t) => {
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

// On a machine that is never calm there is a verdict all the same.
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
