/**
 * Holds the servers that objects are assigned to, and assigns them if this
 * entry is the one that does.
 *
 * @module
 */

import { Assigner, AssignmentTable } from "@dotterelmoor/core.placing";
import type {
  AssignOptions,
  TableChanges,
  TablePosition,
} from "@dotterelmoor/core.placing";

/** Interval in milliseconds at which objects are assigned: a new one goes to
 * the first server of its own order until then. */
const ASSIGN_INTERVAL_MS = 50;

/** Options of `Assignments`. */
export interface AssignmentsOptions extends Omit<AssignOptions, "nowMs"> {
  readonly processId: string;
}

/** The table of one entry. */
export class Assignments {
  readonly #options: AssignmentsOptions;
  #table = new AssignmentTable();
  #assigner: Assigner | undefined;
  #updatedAtMs = -Infinity;

  constructor(options: AssignmentsOptions) {
    this.#options = options;
  }

  find(key: string): string | undefined {
    return this.#table.find(key);
  }

  get position(): TablePosition {
    return this.#table.position;
  }

  get isAssigning(): boolean {
    return this.#assigner !== undefined;
  }

  /** Keys of the objects by the id of their server. */
  listByServer(): Record<string, string[]> {
    const lists: Record<string, string[]> = {};
    for (const key of this.#table.keys()) {
      (lists[this.#table.find(key)!] ??= []).push(key);
    }
    return lists;
  }

  /** Takes over what was kept, unless more is known by now. */
  restore(objects: Readonly<Record<string, readonly string[]>>): void {
    if (this.#table.position.revision > 0) return;
    for (const [serverId, keys] of Object.entries(objects)) {
      for (const key of keys) this.#table.set(key, serverId);
    }
  }

  /** Starts or stops to assign; what was assigned before stays. */
  setAssigning(isAssigning: boolean): void {
    if (isAssigning === this.isAssigning) return;
    this.#assigner = undefined;
    if (!isAssigning) return;
    this.#table = this.#table.fork(this.#options.processId);
    this.#assigner = new Assigner(this.#table);
  }

  /** Adds requests of a region's callers for objects, and assigns them. */
  addUses(region: string, keys: readonly string[]): void {
    const nowMs = performance.now();
    this.#assigner?.addUses(region, keys, nowMs);
    if (nowMs - this.#updatedAtMs < ASSIGN_INTERVAL_MS) return;
    this.#updatedAtMs = nowMs;
    this.#assigner?.update({ ...this.#options, nowMs });
  }

  /** What a copy lacks; undefined if nothing. */
  changesSince(position: TablePosition): TableChanges | undefined {
    const changes = this.#table.changesSince(position);
    const isNews = changes.isComplete || changes.assignments.length > 0;
    return isNews ? changes : undefined;
  }

  /** Takes over what the assigning entry, or one that follows it, tells. */
  apply(changes: TableChanges | undefined): void {
    if (changes === undefined || this.isAssigning) return;
    this.#table.apply(changes);
  }
}
