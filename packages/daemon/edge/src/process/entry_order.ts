/**
 * Order in which the entries of a region take on roles: reader of the store, and
 * aggregator of loads.
 *
 * Entries on larger instances come first, because answering all others takes
 * processor time and bandwidth, and then older entries, so that the start of an
 * entry moves no role.
 *
 * @module
 */

import type { MemberRecord } from "@dotterelmoor/core.membership";

/** Sorts entries by precedence; the result does not depend on their order. */
export function sortEntries<Entry extends MemberRecord>(
  entries: readonly Entry[],
): Entry[] {
  return [...entries].sort((a, b) =>
    b.capacity - a.capacity || a.incarnation - b.incarnation ||
    (a.processId < b.processId ? -1 : 1)
  );
}
