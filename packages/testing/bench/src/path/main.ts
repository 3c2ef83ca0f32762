/**
 * Command-line program that compares the latency through an entry with that of
 * direct requests.
 *
 * @module
 */

import { runPathBench } from "./path_bench.ts";

const ROUNDS = 5;
const MAX_ROUNDS = 10;
const DURATION_MS = 8_000;
const WARMUP_MS = 2_000;

const result = await runPathBench({
  seed: 1,
  rounds: ROUNDS,
  maxRounds: MAX_ROUNDS,
  durationMs: DURATION_MS,
  warmupMs: WARMUP_MS,
});
console.log(JSON.stringify(result, undefined, 2));
