/**
 * Measures by how much the machine delays a reference thread that runs short
 * pieces of work. This shows how much processor time goes to other load,
 * independently of the benchmark's own results.
 *
 * @module
 */

import { once } from "node:events";
import { Worker } from "node:worker_threads";

/** A running measurement. */
export interface WorkDelays {
  /** 99th percentile in milliseconds of the delays since the last call. */
  take(): Promise<number>;
  /** Ends the thread. */
  stop(): Promise<unknown>;
}

/** Starts the measurement in a separate thread. */
export function startWorkDelays(): WorkDelays {
  const thread = new Worker(new URL("work_thread.js", import.meta.url));
  return {
    take: async () => {
      thread.postMessage("take");
      const [delaysMs] = await once(thread, "message") as [number[]];
      return computePercentile99(delaysMs);
    },
    stop: () => thread.terminate(),
  };
}

function computePercentile99(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length * 0.99)] ?? 0;
}
