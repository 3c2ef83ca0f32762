/**
 * Graceful shutdown of this entry.
 *
 * @module
 */

import type { Logger } from "pino";

/** Maximum wait for the handover of groups; leases have lapsed by then. */
const HANDOVER_TIMEOUT_MS = 15_000;
const CHECK_INTERVAL_MS = 50;
/**
 * Delay between the announcement and the handover, so that entries that leave
 * at the same time do not choose each other as successor. The announcement
 * reaches the other entries in 3 to 40 ms.
 */
const ANNOUNCEMENT_DELAY_MS = 100;

/** Options of `stopGracefully`. */
export interface GracefulStopOptions {
  readonly lookupTtlMs: number;
  readonly nowMs: () => number;
  readonly log: Logger;
  /** Notifies peers, so that lookups no longer return this entry. */
  readonly notifyPeers: () => void;
  /** Hands over all owned resources and ends the session. */
  readonly handOver: () => Promise<void>;
  /** Counts callers' requests in progress. */
  readonly countRequests: () => number;
  readonly closeListeners: () => Promise<void>;
}

/** Shuts down without interrupting requests in flight. */
export async function stopGracefully(
  options: GracefulStopOptions,
): Promise<void> {
  const { log } = options;
  const startedMs = options.nowMs();
  log.info("Leaving.");
  options.notifyPeers();
  await wait(ANNOUNCEMENT_DELAY_MS);
  await Promise.race([options.handOver(), wait(HANDOVER_TIMEOUT_MS)]);
  log.info("Handover of groups finished or timed out.");
  // Callers may use a cached lookup answer that names this entry until its
  // time to live has passed.
  const ttlLeftMs = startedMs + options.lookupTtlMs - options.nowMs();
  if (ttlLeftMs > 0) await wait(ttlLeftMs);
  while (options.countRequests() > 0) await wait(CHECK_INTERVAL_MS);
  await options.closeListeners();
  log.info("Left the system; listeners closed.");
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
