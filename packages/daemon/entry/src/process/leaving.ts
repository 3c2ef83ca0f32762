/**
 * Graceful shutdown of this entry.
 *
 * @module
 */

import type { Logger } from "pino";

/** Longest wait for groups to be handed over; the lease has lapsed by then. */
const HAND_OVER_TIMEOUT_MS = 15_000;
const CHECK_INTERVAL_MS = 50;
/**
 * Entries that leave at the same moment have each other's news, which takes
 * 3 to 40 ms, before either of them chooses a successor.
 */
const NEWS_HEAD_START_MS = 100;

/** Options of `leaveSystem`. */
export interface LeavingOptions {
  readonly lookupTtlMs: number;
  readonly nowMs: () => number;
  readonly log: Logger;
  /** Tells peers, so that look-ups no longer name this entry. */
  readonly announce: () => void;
  /** Hands over what is owned and ends the session. */
  readonly handOver: () => Promise<void>;
  /** Requests of callers that are in progress here. */
  readonly countRequests: () => number;
  readonly closeListeners: () => Promise<void>;
}

/** Leaves the system; no request in flight is cut off. */
export async function leaveSystem(options: LeavingOptions): Promise<void> {
  const { log } = options;
  const startedMs = options.nowMs();
  log.info("Leaving.");
  options.announce();
  await wait(NEWS_HEAD_START_MS);
  await Promise.race([options.handOver(), wait(HAND_OVER_TIMEOUT_MS)]);
  log.info("Groups handed over.");
  // Callers may hold a look-up answer with this entry until its time to live.
  const ttlLeftMs = startedMs + options.lookupTtlMs - options.nowMs();
  if (ttlLeftMs > 0) await wait(ttlLeftMs);
  while (options.countRequests() > 0) await wait(CHECK_INTERVAL_MS);
  await options.closeListeners();
  log.info("Left.");
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
