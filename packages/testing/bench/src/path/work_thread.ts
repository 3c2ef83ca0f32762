/**
 * Thread that measures by how much its work is delayed; see `work_delays.ts`.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { parentPort } from "node:worker_threads";

/** Duration of one piece of work, about what an entry needs for a request. A
 * thread that only sleeps would show nothing, as it gets a processor before busy
 * threads do. */
const WORK_MS = 1.5;

/** Interval between two pieces of work. This gives several hundred of them in
 * each round of the benchmark, and takes a quarter of one processor. */
const INTERVAL_MS = 5;

/** Calibration calls. After them the work is compiled, and the fastest one sets
 * the number of steps, as other load only makes calls slower. */
const CALIBRATION_CALLS = 60;
const CALIBRATION_STEPS = 100_000;

let sum = 0;
let delaysMs: number[] = [];

function runWork(steps: number): void {
  for (let step = 0; step < steps; step++) sum = (sum * 31 + step) | 0;
}

function measureWork(steps: number): number {
  const startedAtMs = performance.now();
  runWork(steps);
  return performance.now() - startedAtMs;
}

function scheduleWork(steps: number): void {
  const dueAtMs = performance.now() + INTERVAL_MS;
  setTimeout(() => {
    runWork(steps);
    delaysMs.push(performance.now() - dueAtMs - WORK_MS);
    scheduleWork(steps);
  }, INTERVAL_MS);
}

const calibrationsMs = Array.from(
  { length: CALIBRATION_CALLS },
  () => measureWork(CALIBRATION_STEPS),
);
scheduleWork(
  Math.round(CALIBRATION_STEPS * WORK_MS / Math.min(...calibrationsMs)),
);
parentPort!.on("message", () => {
  parentPort!.postMessage(delaysMs);
  delaysMs = [];
});
