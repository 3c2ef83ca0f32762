/**
 * Measures how long leaving servers take to have no requests in flight.
 *
 * @module
 */

import type { ServerView } from "@dotterelmoor/core.dispatching";

const LEAVING_STATES: ReadonlySet<ServerView["state"]> = new Set([
  "draining",
  "leaving",
  "unlisted",
]);

/** Tracks the leaving servers of a group. */
export interface DrainWatch {
  /** Updates the servers; returns leaving ones that have become idle. */
  update(servers: readonly ServerView[], nowMs: number): DrainedServer[];
}

/** A server that has become idle while leaving. */
export interface DrainedServer {
  readonly id: string;
  /** Time since it was first seen leaving. */
  readonly drainMs: number;
}

/** Creates the watch of a group's servers. */
export function createDrainWatch(): DrainWatch {
  const leavingSinceMs = new Map<string, number>();
  const idleIds = new Set<string>();

  function forgetStale(leaving: readonly ServerView[]): void {
    const ids = new Set(leaving.map(({ id }) => id));
    for (const id of leavingSinceMs.keys()) {
      if (ids.has(id)) continue;
      leavingSinceMs.delete(id);
      idleIds.delete(id);
    }
  }

  return {
    update: (servers, nowMs) => {
      const leaving = servers.filter(({ state }) => LEAVING_STATES.has(state));
      forgetStale(leaving);
      const drained: DrainedServer[] = [];
      for (const { id, inFlight } of leaving) {
        if (!leavingSinceMs.has(id)) leavingSinceMs.set(id, nowMs);
        if (inFlight > 0 || idleIds.has(id)) continue;
        idleIds.add(id);
        drained.push({ id, drainMs: nowMs - leavingSinceMs.get(id)! });
      }
      return drained;
    },
  };
}
