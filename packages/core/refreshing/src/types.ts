/**
 * Interface, events and actions of a refresher.
 *
 * @module
 */

import type { CatalogTable } from "@dotterelmoor/core.catalog";
import type { StateMachine } from "@dotterelmoor/core.types";

/** Entry to pull from: by its process id, by the peer address of its message,
 * or any live entry. */
export type CatalogSource =
  | { readonly type: "process"; readonly processId: string }
  | { readonly type: "address"; readonly peerAddress: string }
  | { readonly type: "any" };

/** What happened to this entry's copy. `id` is that of the action. */
export type RefreshEvent =
  /** `region` holds the process ids of the region's live entries, this one
   * included, in order of precedence as the reader. */
  | { readonly type: "tick"; readonly region: readonly string[] }
  /** The store answered. */
  | { readonly type: "read"; readonly id: number; readonly hasChanges: boolean }
  | { readonly type: "read_failed"; readonly id: number }
  /** An entry answered. `ageMs` is the time in milliseconds since its copy was
   * last known to be current; `reader` is the process id of the entry that it
   * knows as the reader of its region. */
  | {
    readonly type: "pulled";
    readonly id: number;
    readonly ageMs: number;
    readonly reader: string | undefined;
  }
  /** An entry did not answer, or its answer is unreadable. */
  | { readonly type: "pull_failed"; readonly id: number }
  /** The store came back from an older copy, so that all tables must be read
   * again. */
  | { readonly type: "era_changed" }
  /** An entry announced that it has a newer configuration. */
  | { readonly type: "announced"; readonly peerAddress: string };

/** What the caller is to carry out. */
export type RefreshAction =
  /** Read the changes of a table from the store; the store may wait `waitMs`
   * milliseconds for the first change. `isDirect` marks a read by an entry
   * whose copy became too old. */
  | {
    readonly type: "read";
    readonly id: number;
    readonly table: CatalogTable;
    readonly waitMs: number;
    readonly isDirect: boolean;
    /** Time in milliseconds before the whole table is read, if its changes cannot
     * be; the read has failed if a pull brings the table meanwhile. */
    readonly wholeAfterMs: number;
  }
  /** Ask an entry for its changes. */
  | {
    readonly type: "pull";
    readonly id: number;
    readonly source: CatalogSource;
  }
  /** The source of this entry changed: its own process id while it reads for
   * the region, and undefined if no entry of the region can be used. */
  | {
    readonly type: "source_changed";
    readonly source: string | undefined;
    readonly ageMs: number;
  };

/** Options of `createRefresher`. */
export interface RefresherOptions {
  readonly processId: string;
  readonly startedAtMs: number;
  /** Time in milliseconds after the start in which this entry looks for others
   * before it reads the store. */
  readonly joinMs: number;
}

/** Decides what one entry reads and pulls. The time that is passed in must count
 * suspensions of the instance. */
export interface Refresher extends StateMachine<RefreshEvent, RefreshAction> {
  /** Process id of the entry that this one follows, its own if it reads the
   * store for the region, undefined if no entry of the region can be used. */
  readonly source: string | undefined;
  /** Time at which the next `tick` is due. */
  readonly wakeAtMs: number;
  /** Time in milliseconds since the copy was last known to be current; infinite
   * before it is complete. */
  ageMs(nowMs: number): number;
  /** Process id of the region's reader as far as this entry knows: its own only
   * while the store answers it. */
  getReader(nowMs: number): string | undefined;
}
