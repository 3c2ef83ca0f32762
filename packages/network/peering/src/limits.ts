/**
 * Default bounds of peer connections.
 *
 * @module
 */

import type { PeerLimits, PeerLog } from "./types.ts";

/** Largest frame before the peer has proved that it has the token. */
export const MAX_HELLO_BYTES = 4_096;

const DEFAULT_LIMITS: PeerLimits = {
  maxFrameBytes: 5 * 1024 * 1024,
  // Larger than the number of entries in one region at the target size.
  maxConnections: 1_024,
  helloTimeoutMs: 1_000,
  maxCalls: 4_096,
  maxNotifyBuffer: 256 * 1024,
  maxCallBuffer: 16 * 1024 * 1024,
  idleMs: 60_000,
  backoffMs: 100,
  maxBackoffMs: 2_000,
};

/** Completes limits with the defaults. */
export function resolveLimits(limits: Partial<PeerLimits> = {}): PeerLimits {
  return { ...DEFAULT_LIMITS, ...limits };
}

/** Log that drops its lines. */
export const SILENT_LOG: PeerLog = { debug: () => {}, warn: () => {} };
