/**
 * Timings by which entries keep their copies fresh.
 *
 * A change must reach every entry within 2.5 s, the shortest time that the
 * platform allows for a leaving server and for a configuration. The path of a
 * change without failures takes at most a second to the reader and 200 ms more to
 * the others.
 *
 * @module
 */

import type { CatalogTable } from "@dotterelmoor/core.catalog";

/** Age in milliseconds from which a copy counts as stale: above what it reaches
 * without failures, so that an entry reads the store itself only after one. */
export const STALE_MS = 1_450;

/** Delay in milliseconds of an entry's own read after that of the entry before
 * it in the order: one of them usually suffices, and the others pull from it. */
const RANK_DELAY_MS = 100;

/** Rank from which on entries read the store at the same time, so that the
 * time does not depend on how many entries before them have failed. */
const LAST_RANK = 3;

/** Age in milliseconds at which an entry of a rank reads the store itself. */
export function computeReadAge(rank: number): number {
  return STALE_MS + RANK_DELAY_MS * Math.min(rank, LAST_RANK);
}

/** Time in milliseconds that an entry of a rank waits before it reads a whole
 * table directly: the first ones do, and the others pull it from them. */
export function computeWholeDelay(rank: number): number {
  return RANK_DELAY_MS * Math.min(rank, LAST_RANK);
}

/** Interval in milliseconds between pulls from the source. */
export const PULL_INTERVAL_MS = 200;

/** Interval in milliseconds between pulls until a first copy is complete;
 * callers are refused until then. */
export const START_INTERVAL_MS = 50;

/** Interval in milliseconds between pulls of an entry whose copy is stale from
 * the first entries in the order, which read the store before it. */
export const HEDGE_INTERVAL_MS = 100;

/** Time in milliseconds for which it does so: by then all have read the store,
 * or it does not answer. */
export const HEDGE_PHASE_MS = 1_000;

/** Number of entries that such an entry pulls from. */
export const HEDGED_ENTRIES = LAST_RANK + 1;

/** Time in milliseconds after which a pending pull is late and another entry is
 * asked as well. */
export const ANSWER_DUE_MS = 400;

/** Time in milliseconds after a start in which an entry without a copy asks the
 * same source again: entries that start together read the store in this
 * time. */
export const START_PHASE_MS = 1_000;

/** Interval in milliseconds between pulls from entries that come before the
 * source in the order, to find out whether they read the store; the shorter one
 * holds for `NEW_ENTRY_MS` after an entry became the first of them. */
export const PROBE_INTERVAL_MS = 1_000;
export const FIRST_PROBE_INTERVAL_MS = 100;
export const NEW_ENTRY_MS = 1_000;

/** Time in milliseconds for which an entry that failed is not chosen, unless it
 * is known to read the store again; enough to try ten entries one after the
 * other. */
export const SKIP_MS = 5_000;

/** Time in milliseconds that a newly chosen source has to refresh its copy: its
 * own read may be 300 ms later than that of this entry, and may take 200 ms. */
export const SETTLE_MS = 500;

/** Timings of one table in milliseconds. */
export interface TableTimings {
  /** Interval between the starts of two polls, which do not wait for a change;
   * undefined if the table is polled only before a waiting read. */
  readonly pollMs: number | undefined;
  /** Longest wait of the store for a change; undefined for no waiting reads. */
  readonly waitMs: number | undefined;
  /** Time after the start of the reader's reads before the first waiting read:
   * an entry that starts mostly finds another reader within a second. */
  readonly settleMs: number;
  /** Pause after an answer. */
  readonly pauseMs: number;
}

/** Timings of the reader's reads. Servers report every second or two, so a wait
 * for a change of their table would end at once. The configuration and
 * evacuations, the `orders`, change rarely and must be known soon, so a read
 * waits for them. It proves nothing while it waits, as its connection may be
 * dead, so the table is polled too. Crash notes concern few requests and do not
 * count for the age; several follow at once after a crash and are read
 * together. */
export const TABLE_TIMINGS: Readonly<Record<CatalogTable, TableTimings>> = {
  servers: { pollMs: 850, waitMs: undefined, settleMs: 0, pauseMs: 50 },
  orders: { pollMs: 850, waitMs: 4_000, settleMs: 0, pauseMs: 50 },
  crashes: { pollMs: undefined, waitMs: 4_000, settleMs: 1_000, pauseMs: 200 },
};

/** Time in milliseconds of a call to the store up to which polls keep their
 * interval; what a slower one takes longer shortens the next interval. */
export const USUAL_CALL_MS = 100;

/** Share of the interval that remains at a slow store. */
export const MIN_POLL_SHARE = 0.4;

/** Interval in milliseconds between the starts of a failed read and the next
 * one; failed calls are billed too. */
export const RETRY_MS = 800;

/** Interval in milliseconds between the direct reads of two entries of a region
 * after failed ones: in an outage, the entries of a region take turns and together
 * make three such calls a second, however many they are. */
export const RETRY_PER_ENTRY_MS = 300;
