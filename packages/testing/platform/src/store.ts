/**
 * Table rows and the instance list of the simulated platform.
 *
 * @module
 */

import type {
  JsonValue,
  ListedInstance,
  TableRow,
  TableTransaction,
} from "@dotterelmoor/core.types";

/** Response body of a transaction in the platform protocol. */
export type StoreTransactResult =
  | {
    readonly committed: true;
    readonly versions: Readonly<Record<string, number>>;
  }
  | { readonly committed: false; readonly conflicts: readonly TableRow[] };

/** Bounds of one page of a row list. */
export interface ListOptions {
  /** Exclusive lower bound of the keys. */
  readonly after: string;
  /** Maximum number of rows. */
  readonly limit: number;
}

/** In-memory transactional table. */
export class TableStore {
  #rows = new Map<string, { version: number; value: JsonValue }>();
  // Shared by all keys, so that a deleted and recreated row never reuses a
  // version.
  #lastVersion = 0;

  constructor(initialRows: Readonly<Record<string, JsonValue>> = {}) {
    const initial = Object.entries(initialRows);
    this.#lastVersion = initial.length > 0 ? 1 : 0;
    for (const [key, value] of initial) {
      this.#rows.set(key, { version: 1, value });
    }
  }

  /** Reads one row; a missing row has version 0 and the value null. */
  read(key: string): TableRow {
    const row = this.#rows.get(key);
    return { key, version: row?.version ?? 0, value: row?.value ?? null };
  }

  /** Lists the rows whose keys start with a prefix, sorted by key. */
  list(prefix: string, options: ListOptions): TableRow[] {
    const keys = [...this.#rows.keys()].filter((key) =>
      key.startsWith(prefix) && key > options.after
    );
    keys.sort((a, b) => a < b ? -1 : 1);
    return keys.slice(0, options.limit).map((key) => this.read(key));
  }

  /** Applies all writes if every check matches the version of its row. */
  transact(transaction: TableTransaction): StoreTransactResult {
    const conflicts = transaction.checks
      .map((check) => ({ check, row: this.read(check.key) }))
      .filter(({ check, row }) => check.version !== row.version)
      .map(({ row }) => row);
    if (conflicts.length > 0) return { committed: false, conflicts };
    const versions: Record<string, number> = {};
    for (const write of transaction.writes) {
      versions[write.key] = this.#write(write.key, write.value);
    }
    return { committed: true, versions };
  }

  #write(key: string, value: JsonValue): number {
    if (value === null) {
      this.#rows.delete(key);
      return 0;
    }
    this.#lastVersion += 1;
    this.#rows.set(key, { version: this.#lastVersion, value });
    return this.#lastVersion;
  }
}

/** Instance list with a history, so that it can be read with a lag. */
export class LaggingInstanceList {
  #history: { at: number; instances: readonly ListedInstance[] }[];

  constructor(instances: readonly ListedInstance[]) {
    this.#history = [{ at: -Infinity, instances }];
  }

  /** Sets the actual list as of `nowMs`. */
  set(instances: readonly ListedInstance[], nowMs: number): void {
    this.#history.push({ at: nowMs, instances });
    // Bounds the history; a test or demo changes the list a few hundred times
    // at most.
    if (this.#history.length > 10_000) this.#history.splice(0, 5_000);
  }

  /** Reads the list as it was `lagMs` milliseconds before `nowMs`. */
  read(nowMs: number, lagMs: number): readonly ListedInstance[] {
    const shown = this.#history.findLast((entry) => entry.at <= nowMs - lagMs);
    return (shown ?? this.#history[0]!).instances;
  }
}
