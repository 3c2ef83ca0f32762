/**
 * Servers by object, as one entry assigned them and others follow it.
 *
 * @module
 */

/** Where a copy of a table stands. */
export interface TablePosition {
  /** Process that numbers the changes; empty for an empty copy. */
  readonly origin: string;
  readonly revision: number;
}

/** One object's server; an object without one is no longer assigned. */
export type Assignment = readonly [key: string, serverId: string | null];

/** What a copy at an older position lacks. */
export interface TableChanges extends TablePosition {
  /** True if objects that are not listed are not assigned. */
  readonly isComplete: boolean;
  readonly assignments: readonly Assignment[];
}

/** Rows that are kept, removed objects included; copies that lack a change
 * which was left out get the whole table. */
const MAX_ROWS = 8_192;

interface Row {
  readonly serverId: string | null;
  readonly revision: number;
}

/** A table, the original or a copy. */
export class AssignmentTable {
  #origin: string;
  #revision = 0;
  /** Changes up to this revision may be missing. */
  #deltasFrom = 0;
  /** In the order of their revisions; removed objects stay for copies. */
  #rows = new Map<string, Row>();

  constructor(origin = "") {
    this.#origin = origin;
  }

  get position(): TablePosition {
    return { origin: this.#origin, revision: this.#revision };
  }

  /** Objects that are assigned. */
  *keys(): Generator<string> {
    for (const [key, { serverId }] of this.#rows) {
      if (serverId !== null) yield key;
    }
  }

  /** Id of the server of an object. */
  find(key: string): string | undefined {
    return this.#rows.get(key)?.serverId ?? undefined;
  }

  set(key: string, serverId: string): void {
    this.#put(key, serverId);
  }

  remove(key: string): void {
    if (this.find(key) !== undefined) this.#put(key, null);
  }

  changesSince(position: TablePosition): TableChanges {
    const hasDelta = position.origin === this.#origin &&
      position.revision <= this.#revision &&
      position.revision >= this.#deltasFrom;
    const after = hasDelta ? position.revision : 0;
    const assignments: Assignment[] = [];
    if (after < this.#revision) {
      for (const [key, { serverId, revision }] of this.#rows) {
        if (revision > after) assignments.push([key, serverId]);
      }
    }
    return { ...this.position, isComplete: !hasDelta, assignments };
  }

  /** Takes over the changes of the original. */
  apply(changes: TableChanges): void {
    const { origin, revision, isComplete, assignments } = changes;
    if (isComplete) {
      this.#rows = new Map();
      this.#deltasFrom = revision;
    }
    this.#origin = origin;
    for (const [key, serverId] of assignments) {
      this.#rows.delete(key);
      this.#rows.set(key, { serverId, revision });
    }
    this.#revision = revision;
  }

  /** A new original with the same assignments. */
  fork(origin: string): AssignmentTable {
    const table = new AssignmentTable(origin);
    for (const [key, { serverId }] of this.#rows) {
      if (serverId !== null) table.set(key, serverId);
    }
    return table;
  }

  #put(key: string, serverId: string | null): void {
    this.#revision += 1;
    this.#rows.delete(key);
    this.#rows.set(key, { serverId, revision: this.#revision });
    if (this.#rows.size > MAX_ROWS) this.#dropRemoved();
  }

  #dropRemoved(): void {
    for (const [key, { serverId }] of this.#rows) {
      if (serverId === null) this.#rows.delete(key);
    }
    this.#deltasFrom = this.#revision;
  }
}
