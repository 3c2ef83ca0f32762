/**
 * The order in which the entries of a region are asked and take over duties.
 *
 * Larger instances come first, as answering all others takes processor time
 * and bytes; then the oldest, so that a start moves no duty.
 *
 * @module
 */

import type { MemberRecord } from "@dotterelmoor/core.membership";

/** Sorts entries; the order is the same at every entry. */
export function sortEntries<Entry extends MemberRecord>(
  entries: readonly Entry[],
): Entry[] {
  return [...entries].sort((a, b) =>
    b.capacity - a.capacity || a.incarnation - b.incarnation ||
    (a.processId < b.processId ? -1 : 1)
  );
}
