/**
 * Compacted change log of one table, for the entries that follow this one.
 *
 * @module
 */

import { UNKNOWN_POSITION } from "./store_position.ts";
import type { StorePosition } from "./store_position.ts";
import type { CatalogChange, ServerRecord } from "./types.ts";

/** Maximum number of rows; a follower that lacks an evicted change gets the
 * whole table. Far above the number of servers in an installation. */
const MAX_ROWS = 8_192;

interface LoggedChange {
  readonly version: number;
  readonly change: CatalogChange;
}

/** Changes of one era by store version. */
export class ChangeLog {
  /** Latest change of each row, in order of version. */
  readonly #rows = new Map<string, LoggedChange>();
  /** Position after which the log contains every change. */
  #deltasFrom = UNKNOWN_POSITION;
  #latest = 0;

  /** Clears the log after a whole table was read. */
  restart(position: StorePosition): void {
    this.#rows.clear();
    this.#deltasFrom = position;
    this.#latest = position.version;
  }

  add(row: string, change: CatalogChange, version: number): void {
    this.#latest = version;
    this.#rows.delete(row);
    this.#rows.set(row, { version, change });
    if (this.#rows.size <= MAX_ROWS) return;
    const [oldest] = this.#rows;
    this.#rows.delete(oldest![0]);
    const { version: droppedVersion } = oldest![1];
    this.#deltasFrom = { ...this.#deltasFrom, version: droppedVersion };
  }

  /** Lists the changes after a position; undefined if the log is incomplete since
   * then, or of another era. */
  listSince(
    { era, version }: StorePosition,
  ): readonly CatalogChange[] | undefined {
    if (era !== this.#deltasFrom.era) return undefined;
    if (version < this.#deltasFrom.version) return undefined;
    const changes: CatalogChange[] = [];
    if (version >= this.#latest) return changes;
    for (const logged of this.#rows.values()) {
      if (logged.version > version) changes.push(logged.change);
    }
    return changes;
  }
}

/** Compares two records, ignoring a new `sequence` and the countdown of
 * `coldMs`. */
export function hasChanged(before: ServerRecord, after: ServerRecord): boolean {
  return before.state !== after.state || before.address !== after.address ||
    before.service !== after.service || before.zone !== after.zone ||
    before.slots !== after.slots || before.bornMs !== after.bornMs ||
    (before.coldMs > 0) !== (after.coldMs > 0);
}
