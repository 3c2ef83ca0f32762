/**
 * Formats a report as text.
 *
 * @module
 */

import type { GroupReport, LatencySummary } from "./recorder.ts";
import type { RunReport } from "./run.ts";

/** Formats a report as lines of text for a terminal. */
export function formatReport(report: RunReport): string {
  const seconds = (report.elapsedMs / 1_000).toFixed(1);
  const lines = [
    `Sent ${report.sent} requests in ${seconds} s at ` +
    `${report.ratePerSecond}/s, seed ${report.seed}`,
    "Latency in ms from the intended start:",
    formatRow(["service", "region", "", "count", ...COLUMNS]),
    ...formatGroup(report.total),
    ...report.groups.flatMap(formatGroup),
    "Outcomes:",
    ...formatOutcomes(report.total),
    ...report.groups.flatMap(formatOutcomes),
  ];
  return lines.join("\n");
}

const COLUMNS = ["p50", "p90", "p99", "p99.9", "max"];

function formatGroup(group: GroupReport): string[] {
  const { service, region, answered, all } = group;
  return [
    formatRow([service, region, "answered", ...formatLatency(answered)]),
    formatRow(["", "", "all", ...formatLatency(all)]),
  ];
}

function formatLatency(latency: LatencySummary): string[] {
  const { count, p50, p90, p99, p999, max } = latency;
  return [
    String(count),
    ...[p50, p90, p99, p999, max].map((value) => value.toFixed(1)),
  ];
}

function formatRow(cells: readonly string[]): string {
  return cells
    .map((cell, i) => i < 3 ? cell.padEnd(14) : cell.padStart(9))
    .join(" ")
    .trimEnd();
}

function formatOutcomes(group: GroupReport): string[] {
  const total = Object.values(group.outcomes).reduce((sum, n) => sum + n, 0);
  return Object.entries(group.outcomes).map(([name, count]) => {
    const share = (100 * count / total).toFixed(2);
    const label = `${group.service} ${group.region}`.padEnd(29);
    return `${label} ${name.padEnd(32)} ${String(count).padStart(9)} ${
      share.padStart(6)
    }%`;
  });
}
