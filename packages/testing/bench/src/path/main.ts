/**
 * Prints the latency through an entry against the direct way.
 *
 * @module
 */

import { runPathBench } from "./path_bench.ts";

const DURATION_MS = 15_000;
const WARMUP_MS = 3_000;

const result = await runPathBench({
  seed: 1,
  durationMs: DURATION_MS,
  warmupMs: WARMUP_MS,
});
console.log(JSON.stringify(result, undefined, 2));
