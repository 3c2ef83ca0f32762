/**
 * Holds the assignments of objects to servers. One entry of the installation
 * assigns objects; the others hold copies of its table.
 *
 * @module
 */

import { Assigner, AssignmentTable } from "@dotterelmoor/core.placing";
import type {
  AssignOptions,
  TableChanges,
  TablePosition,
} from "@dotterelmoor/core.placing";

/** Least interval in milliseconds between assignments. Until it is assigned, a
 * new object goes to the first server of its own preference order. */
const ASSIGN_INTERVAL_MS = 50;

/** Options of `Assignments`. */
export interface AssignmentsOptions extends Omit<AssignOptions, "nowMs"> {
  readonly processId: string;
}

/** Assignment table of one entry, the original or a copy. */
export class Assignments {
  readonly #options: AssignmentsOptions;
  #table = new AssignmentTable();
  #assigner: Assigner | undefined;
  #updatedAtMs = -Infinity;

  constructor(options: AssignmentsOptions) {
    this.#options = options;
  }

  /** Finds the id of the server that an object is assigned to. */
  find(key: string): string | undefined {
    return this.#table.find(key);
  }

  /** Origin and revision of the table. */
  get position(): TablePosition {
    return this.#table.position;
  }

  /** True if this entry assigns objects. */
  get isAssigning(): boolean {
    return this.#assigner !== undefined;
  }

  /** Lists the keys of assigned objects by server id. */
  listByServer(): Record<string, string[]> {
    const lists: Record<string, string[]> = {};
    for (const key of this.#table.keys()) {
      (lists[this.#table.find(key)!] ??= []).push(key);
    }
    return lists;
  }

  /** Restores saved assignments, given as object keys by server id, unless the
   * table has changed already. */
  restore(objects: Readonly<Record<string, readonly string[]>>): void {
    if (this.#table.position.revision > 0) return;
    for (const [serverId, keys] of Object.entries(objects)) {
      for (const key of keys) this.#table.set(key, serverId);
    }
  }

  /** Starts or stops assigning; existing assignments stay. */
  setAssigning(isAssigning: boolean): void {
    if (isAssigning === this.isAssigning) return;
    this.#assigner = undefined;
    if (!isAssigning) return;
    this.#table = this.#table.fork(this.#options.processId);
    this.#assigner = new Assigner(this.#table);
  }

  /** Records that callers of a region requested objects, and assigns objects if
   * that is due. No effect in an entry that does not assign. */
  addUses(region: string, keys: readonly string[]): void {
    const nowMs = performance.now();
    this.#assigner?.addUses(region, keys, nowMs);
    if (nowMs - this.#updatedAtMs < ASSIGN_INTERVAL_MS) return;
    this.#updatedAtMs = nowMs;
    this.#assigner?.update({ ...this.#options, nowMs });
  }

  /** Changes since the position of a copy; undefined if there are none. */
  changesSince(position: TablePosition): TableChanges | undefined {
    const changes = this.#table.changesSince(position);
    const hasChanges = changes.isComplete || changes.assignments.length > 0;
    return hasChanges ? changes : undefined;
  }

  /** Applies changes of the original or of a more recent copy; ignored in an
   * entry that assigns. */
  apply(changes: TableChanges | undefined): void {
    if (changes === undefined || this.isAssigning) return;
    this.#table.apply(changes);
  }
}
