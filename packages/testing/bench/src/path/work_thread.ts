/**
 * Thread that measures by how much its work is late; see `work_delays.ts`.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { parentPort } from "node:worker_threads";

/** Time in milliseconds of one piece of work, about what an entry needs for a
 * request: a thread that only sleeps gets a processor before busy ones do. */
const WORK_MS = 1.5;

/** Interval in milliseconds between two pieces: some hundred in each round of
 * the benchmark, and a quarter of one processor. */
const INTERVAL_MS = 5;

/** Calls after which the work is compiled, and by whose fastest one its length
 * is set, as others only make calls slower. */
const TRIAL_CALLS = 60;
const TRIAL_STEPS = 100_000;

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

function startWork(steps: number): void {
  const dueAtMs = performance.now() + INTERVAL_MS;
  setTimeout(() => {
    runWork(steps);
    delaysMs.push(performance.now() - dueAtMs - WORK_MS);
    startWork(steps);
  }, INTERVAL_MS);
}

const trialsMs = Array.from(
  { length: TRIAL_CALLS },
  () => measureWork(TRIAL_STEPS),
);
startWork(Math.round(TRIAL_STEPS * WORK_MS / Math.min(...trialsMs)));
parentPort!.on("message", () => {
  parentPort!.postMessage(delaysMs);
  delaysMs = [];
});
