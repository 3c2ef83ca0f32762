/**
 * Reports what an entry learnt and whom it knows, in logs and metrics.
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
import type { MeasuredStalls } from "./stalls.ts";

/** Interval in milliseconds of reports. */
const REPORT_INTERVAL_MS = 5_000;

/** Options of `startReports`. */
export interface ReportsOptions {
  readonly placer: Placer;
  readonly store: DisposableStore;
  readonly log: EdgeLog;
  readonly peers: Peers;
  readonly metrics: EdgeMetrics;
  readonly stalls: MeasuredStalls;
  readonly watch: Pick<CatalogWatch, "ageMs">;
  readonly quarantine: Pick<CrashQuarantine, "countQuarantined">;
}

/** Starts the reports. */
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
    // Without a catalog there is no age.
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

/** Tells a busy process, whose requests wait unread, from one that stood still:
 * both send late, and only the latter has a long delay. */
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
