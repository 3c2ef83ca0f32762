/**
 * Holds the servers that objects are assigned to, and assigns them where this
 * entry is the one that does.
 *
 * @module
 */

import { Assigner, AssignmentTable } from "@dotterelmoor/core.placing";
import type {
  AssignmentScope,
  TableChanges,
  TablePosition,
} from "@dotterelmoor/core.placing";
import type { TrackedServer } from "@dotterelmoor/core.catalog";

/** Interval in milliseconds at which objects are assigned: a new one runs by
 * its own order of servers until then. */
const ASSIGN_INTERVAL_MS = 50;

/** What of each scope's table travels between entries. */
export type ScopeChanges = Partial<Record<AssignmentScope, TableChanges>>;

/** Where the copies of both tables stand. */
export type ScopePositions = Readonly<Record<AssignmentScope, TablePosition>>;

/** Options of `Assignments`. */
export interface AssignmentsOptions {
  readonly processId: string;
  /** Servers of a service that may get objects of a scope. */
  readonly findServers: (
    scope: AssignmentScope,
    service: string,
  ) => readonly TrackedServer[];
}

/** Tables of both scopes at one entry. */
export class Assignments {
  readonly #options: AssignmentsOptions;
  readonly #copies: Record<AssignmentScope, AssignmentTable> = {
    all: new AssignmentTable(),
    home: new AssignmentTable(),
  };
  readonly #assigners: Partial<Record<AssignmentScope, Assigner>> = {};
  readonly #updatedAtMs: Record<AssignmentScope, number> = {
    all: -Infinity,
    home: -Infinity,
  };

  constructor(options: AssignmentsOptions) {
    this.#options = options;
  }

  find(scope: AssignmentScope, key: string): string | undefined {
    return this.#table(scope).find(key);
  }

  get positions(): ScopePositions {
    return {
      all: this.#table("all").position,
      home: this.#table("home").position,
    };
  }

  /** Starts or stops to assign; what was assigned before stays. */
  setAssigning(scope: AssignmentScope, isAssigning: boolean): void {
    const assigner = this.#assigners[scope];
    if (isAssigning === (assigner !== undefined)) return;
    if (assigner === undefined) {
      const table = this.#copies[scope].fork(this.#options.processId);
      this.#assigners[scope] = new Assigner(table, performance.now());
    } else {
      this.#copies[scope] = assigner.table;
      delete this.#assigners[scope];
    }
  }

  isAssigning(scope: AssignmentScope): boolean {
    return this.#assigners[scope] !== undefined;
  }

  /** Adds requests for objects, and assigns what is new. */
  addUses(scope: AssignmentScope, keys: readonly string[]): void {
    this.#assigners[scope]?.addUses(keys, performance.now());
  }

  /** Assigns objects where this entry does; to be called often. */
  update(): void {
    const nowMs = performance.now();
    for (const scope of ["all", "home"] as const) {
      const assigner = this.#assigners[scope];
      if (assigner === undefined) continue;
      if (nowMs - this.#updatedAtMs[scope] < ASSIGN_INTERVAL_MS) continue;
      this.#updatedAtMs[scope] = nowMs;
      assigner.update({
        findServers: (service) => this.#options.findServers(scope, service),
        nowMs,
      });
    }
  }

  /** What a copy lacks; undefined if nothing. */
  changesSince(
    scope: AssignmentScope,
    position: TablePosition,
  ): TableChanges | undefined {
    const changes = this.#table(scope).changesSince(position);
    const isNews = changes.isComplete || changes.assignments.length > 0;
    return isNews ? changes : undefined;
  }

  /** Takes over what the assigning entry, or one that follows it, tells. */
  apply(changes: ScopeChanges): void {
    for (const scope of ["all", "home"] as const) {
      const told = changes[scope];
      if (told === undefined || this.isAssigning(scope)) continue;
      this.#copies[scope].apply(told);
    }
  }

  #table(scope: AssignmentScope): AssignmentTable {
    return this.#assigners[scope]?.table ?? this.#copies[scope];
  }
}
