/**
 * The latest change of each row of one table, for entries that follow.
 *
 * @module
 */

import type { CatalogChange, ServerRecord } from "./types.ts";

/** Rows that are kept; an entry that lacks a change which was left out gets
 * the whole table. Far above the servers of one installation. */
const MAX_ROWS = 8_192;

interface LoggedChange {
  readonly version: number;
  readonly change: CatalogChange;
}

/** Changes by the version of the store at which they became known. */
export class ChangeLog {
  /** In the order of their versions; only the latest of each row. */
  readonly #rows = new Map<string, LoggedChange>();
  /** Changes up to this version may be missing. */
  #deltasFrom = 0;
  #latest = 0;

  /** Starts anew from a table that is known as a whole. */
  restart(version: number): void {
    this.#rows.clear();
    this.#deltasFrom = version;
  }

  add(row: string, change: CatalogChange, version: number): void {
    this.#latest = version;
    this.#rows.delete(row);
    this.#rows.set(row, { version, change });
    if (this.#rows.size <= MAX_ROWS) return;
    const [oldest] = this.#rows;
    this.#rows.delete(oldest![0]);
    this.#deltasFrom = oldest![1].version;
  }

  /** Changes after a version; undefined if not all of them are kept. */
  listSince(version: number): readonly CatalogChange[] | undefined {
    if (version < this.#deltasFrom) return undefined;
    const changes: CatalogChange[] = [];
    if (version >= this.#latest) return changes;
    for (const logged of this.#rows.values()) {
      if (logged.version > version) changes.push(logged.change);
    }
    return changes;
  }
}

/** A report that only counts on, or a cold time that runs down, is no news. */
export function hasChanged(before: ServerRecord, after: ServerRecord): boolean {
  return before.state !== after.state || before.address !== after.address ||
    before.service !== after.service || before.zone !== after.zone ||
    before.slots !== after.slots || before.bornMs !== after.bornMs ||
    (before.coldMs > 0) !== (after.coldMs > 0);
}
