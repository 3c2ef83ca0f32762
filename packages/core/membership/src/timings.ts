/**
 * Default periods and limits.
 *
 * @module
 */

import type { MembershipTimings } from "./options.ts";

/** Maximum updates per message; bounds its size at any number of nodes. */
export const MAX_UPDATES = 8;
/** Maximum number of live entries in a region summary. */
export const MAX_SUMMARY_ENTRIES = 4;
/** Maximum number of group states in a region summary; further ones rotate. */
export const MAX_SUMMARY_STATES = 32;

const DEFAULTS: MembershipTimings = {
  probeIntervalMs: 1_000,
  probeTimeoutMs: 300,
  indirectProbes: 3,
  suspicionMs: 3_000,
  gossipIntervalMs: 200,
  syncIntervalMs: 4_000,
  rejoinIntervalMs: 5_000,
  contactIntervalMs: 1_000,
  contactsPerRegion: 3,
  forgetMs: 60_000,
  tombstoneMs: 3_600_000,
  freshMs: 5_000,
  contactFreshMs: 25_000,
  refreshIntervalMs: 1_500,
  remoteRefreshIntervalMs: 2_000,
  listIntervalMs: 10_000,
};

/** Completes the timings with the defaults. */
export function resolveTimings(
  overrides: Partial<MembershipTimings> = {},
): MembershipTimings {
  return { ...DEFAULTS, ...overrides };
}
