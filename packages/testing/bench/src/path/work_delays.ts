/**
 * By how much the machine delays a thread with a little work: a witness of
 * processor time that goes to others, apart from what is being measured.
 *
 * @module
 */

import { once } from "node:events";
import { Worker } from "node:worker_threads";

/** A running measurement. */
export interface WorkDelays {
  /** 99th percentile in milliseconds of the delays since the last call. */
  take(): Promise<number>;
  stop(): Promise<unknown>;
}

/** Starts to measure in a thread of its own. */
export function startWorkDelays(): WorkDelays {
  const thread = new Worker(new URL("work_thread.js", import.meta.url));
  return {
    take: async () => {
      thread.postMessage("take");
      const [delaysMs] = await once(thread, "message") as [number[]];
      return findPercentile99(delaysMs);
    },
    stop: () => thread.terminate(),
  };
}

function findPercentile99(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length * 0.99)] ?? 0;
}
