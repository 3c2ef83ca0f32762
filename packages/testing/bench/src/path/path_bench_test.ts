import test from "ava";
import { runPathBench } from "./path_bench.ts";

// The project's targets at half load on loopback.
const MAX_MEDIAN_RATIO = 3;
const MAX_P99_RATIO = 4;

const MAX_ROUNDS = 15;
/** A round takes 10 s, and longer if other load made a queue grow. */
const TIMEOUT_MS = 300_000;

test("guards against an entry that adds too much latency at half load", async (t) => {
  t.timeout(TIMEOUT_MS);
  const result = await runPathBench({
    seed: 1,
    rounds: 3,
    maxRounds: MAX_ROUNDS,
    durationMs: 5_000,
    warmupMs: 1_000,
  });
  t.log(JSON.stringify(result));
  t.is(result.unanswered, 0);
  t.true(result.medianRatio <= MAX_MEDIAN_RATIO);
  t.true(result.p99Ratio <= MAX_P99_RATIO);
});
