/**
 * Reports plans, members and event loop delays periodically, in logs and
 * metrics.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import type { Placer } from "@dotterelmoor/core.placing";
import type { DisposableStore } from "@dotterelmoor/core.types";
import type { CatalogWatch } from "./catalog_watch.ts";
import type { CrashQuarantine } from "./crash_quarantine.ts";
import type { EdgeLog } from "./logging.ts";
import type { EdgeMetrics } from "./metrics.ts";
import type { Peers } from "./peers.ts";
import type { MeasuringStallDetector } from "./stalls.ts";

/** Interval in milliseconds between reports. */
const REPORT_INTERVAL_MS = 5_000;

/** Options of `startReports`. */
export interface ReportsOptions {
  readonly placer: Placer;
  readonly store: DisposableStore;
  readonly log: EdgeLog;
  readonly peers: Peers;
  readonly metrics: EdgeMetrics;
  readonly stalls: MeasuringStallDetector;
  readonly watch: Pick<CatalogWatch, "ageMs">;
  readonly quarantine: Pick<CrashQuarantine, "countQuarantined">;
}

/** Starts the reports, until the store is disposed of. */
export function startReports(options: ReportsOptions): void {
  const { placer, store, log, peers, metrics, watch, quarantine } = options;
  const planLog = log.part("plan");
  const reportEventLoop = createEventLoopReport(options);
  const timer = setInterval(() => {
    const nowMs = performance.now();
    placer.expire(nowMs);
    planLog.info({ services: placer.describe(nowMs) }, "Run times.");
    reportEventLoop();
    const catalogAgeMs = watch.ageMs();
    // The age is infinite before the first catalog.
    if (Number.isFinite(catalogAgeMs)) {
      metrics.catalogAge.set(catalogAgeMs / 1_000);
    }
    metrics.quarantined.set(quarantine.countQuarantined());
    metrics.members.reset();
    for (const { region } of peers.membership.liveMembers()) {
      metrics.members.inc({ region });
    }
  }, REPORT_INTERVAL_MS);
  store.add(() => clearInterval(timer));
}

/** Creates a report that distinguishes a busy process, whose requests wait
 * unread, from a stalled one: both send late, but only a stall causes a long
 * timer delay. */
function createEventLoopReport(
  { log, metrics, stalls }: ReportsOptions,
): () => void {
  const edgeLog = log.part("edge");
  let last = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, last);
    last = now;
    const delayMs = stalls.takeLongestDelay();
    metrics.eventLoopUse.set(utilization);
    metrics.eventLoopDelay.set(delayMs / 1_000);
    const fields = {
      utilization: Number(utilization.toFixed(3)),
      delayMs: Math.round(delayMs),
    };
    edgeLog.info(fields, "Event loop.");
  };
}
