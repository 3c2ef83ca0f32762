/**
 * Reads the backend servers' counters and counts runs by idempotency key.
 *
 * @module
 */

import { readCounters } from "@dotterelmoor/testing.demo";
import type { RunningSystem } from "@dotterelmoor/testing.demo";
import type { ServerCounters } from "@dotterelmoor/testing.server";
import type { CallResult } from "./calls.ts";

/** Reads the counters of all backend servers; each must be running. */
export async function readAllCounters(
  system: RunningSystem,
): Promise<ServerCounters[]> {
  return await Promise.all(
    system.servers.map(({ controlUrl }) =>
      readCounters<ServerCounters>(controlUrl)
    ),
  );
}

/** Counts the runs of each key across all backend servers. */
export async function countRunsByKey(
  system: RunningSystem,
): Promise<Map<string, number>> {
  const runs = new Map<string, number>();
  for (const { runsByKey } of await readAllCounters(system)) {
    for (const [key, count] of Object.entries(runsByKey)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  return runs;
}

/** Counts the requests in flight at all backend servers. */
export async function countInFlight(system: RunningSystem): Promise<number> {
  const counters = await readAllCounters(system);
  return counters.reduce((sum, { inFlight }) => sum + inFlight, 0);
}

/** Lists keys that ran more than once. */
export function listRepeated(runs: ReadonlyMap<string, number>): string[] {
  return [...runs].filter(([, count]) => count > 1).map(([key]) => key);
}

/** Lists keys that ran although all their results were `not-run`. */
export function listFalseRefusals(
  results: readonly CallResult[],
  runs: ReadonlyMap<string, number>,
): string[] {
  const refused = new Map<string, boolean>();
  for (const { call, outcome } of results) {
    if (call.key === undefined) continue;
    const isRefused = outcome === "not-run" && refused.get(call.key) !== false;
    refused.set(call.key, isRefused);
  }
  return [...refused]
    .filter(([key, isRefused]) => isRefused && (runs.get(key) ?? 0) > 0)
    .map(([key]) => key);
}
