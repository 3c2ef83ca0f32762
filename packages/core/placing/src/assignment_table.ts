/**
 * Table of the servers that objects are assigned to, replicated from the entry
 * that assigns them to the others.
 *
 * @module
 */

/** Replication position of a copy. */
export interface TablePosition {
  /** Process that numbers the revisions; empty for an empty copy. */
  readonly origin: string;
  readonly revision: number;
}

/** Key of an object and the id of its server; null if it is unassigned. */
export type Assignment = readonly [key: string, serverId: string | null];

/** Changes that bring a copy to a newer position. */
export interface TableChanges extends TablePosition {
  /** True if this is the whole table: objects not listed are unassigned. */
  readonly isComplete: boolean;
  readonly assignments: readonly Assignment[];
}

/** Number of rows, removed objects included, above which removed ones are
 * dropped. Copies from before that get the whole table. */
const MAX_ROWS = 8_192;

interface Row {
  readonly serverId: string | null;
  readonly revision: number;
}

/** An assignment table: the original or a copy. */
export class AssignmentTable {
  #origin: string;
  #revision = 0;
  /** Oldest revision from which a delta is complete. */
  #deltasFrom = 0;
  /** In order of revision; removed objects stay so that copies learn of
   * them. */
  #rows = new Map<string, Row>();

  constructor(origin = "") {
    this.#origin = origin;
  }

  get position(): TablePosition {
    return { origin: this.#origin, revision: this.#revision };
  }

  /** Yields the keys of the assigned objects. */
  *keys(): Generator<string> {
    for (const [key, { serverId }] of this.#rows) {
      if (serverId !== null) yield key;
    }
  }

  /** Returns the id of the server that an object is assigned to. */
  find(key: string): string | undefined {
    return this.#rows.get(key)?.serverId ?? undefined;
  }

  set(key: string, serverId: string): void {
    this.#put(key, serverId);
  }

  remove(key: string): void {
    if (this.find(key) !== undefined) this.#put(key, null);
  }

  /** Returns the changes since a position, or the whole table if the position
   * is of another origin or too old. */
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

  /** Applies changes from the original or from another copy. */
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

  /** Creates a new original with the same assignments. */
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
