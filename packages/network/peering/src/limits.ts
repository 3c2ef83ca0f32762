/**
 * Default limits of peer connections.
 *
 * @module
 */

import type { PeerLimits, PeerLog } from "./types.ts";

/** Maximum size of a frame from a peer that has not yet sent a valid token. */
export const MAX_HELLO_BYTES = 4_096;

const DEFAULT_LIMITS: PeerLimits = {
  maxFrameBytes: 5 * 1024 * 1024,
  // Exceeds the number of entries in a region of the target size.
  maxConnections: 1_024,
  helloTimeoutMs: 1_000,
  maxCalls: 4_096,
  maxNotifyBuffer: 256 * 1024,
  maxCallBuffer: 16 * 1024 * 1024,
  idleMs: 60_000,
  backoffMs: 100,
  maxBackoffMs: 2_000,
};

/** Fills missing limits with the defaults. */
export function resolveLimits(limits: Partial<PeerLimits> = {}): PeerLimits {
  return { ...DEFAULT_LIMITS, ...limits };
}

/** Log that discards its lines. */
export const SILENT_LOG: PeerLog = { debug: () => {}, warn: () => {} };
