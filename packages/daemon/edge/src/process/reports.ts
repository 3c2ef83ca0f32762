/**
 * Reports what an entry learnt and whom it knows, in logs and metrics.
 *
 * @module
 */

import type { Placer } from "@dotterelmoor/core.placing";
import type { DisposableStore } from "@dotterelmoor/core.types";
import type { EdgeLog } from "./logging.ts";
import type { EdgeMetrics } from "./metrics.ts";
import type { Peers } from "./peers.ts";

/** Interval in milliseconds of reports. */
const REPORT_INTERVAL_MS = 5_000;

/** Options of `startReports`. */
export interface ReportsOptions {
  readonly placer: Placer;
  readonly store: DisposableStore;
  readonly log: EdgeLog;
  readonly peers: Peers;
  readonly metrics: EdgeMetrics;
}

/** Starts the reports. */
export function startReports(options: ReportsOptions): void {
  const { placer, store, log, peers, metrics } = options;
  const planLog = log.part("plan");
  const timer = setInterval(() => {
    const nowMs = performance.now();
    placer.expire(nowMs);
    planLog.info({ services: placer.describe(nowMs) }, "Run times.");
    metrics.members.reset();
    for (const { region } of peers.membership.liveMembers()) {
      metrics.members.inc({ region });
    }
  }, REPORT_INTERVAL_MS);
  store.add(() => clearInterval(timer));
}
