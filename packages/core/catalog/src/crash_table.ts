/**
 * Crash notes of the store, with a change log for the entries that follow this
 * one.
 *
 * @module
 */

import { CrashNotes } from "@dotterelmoor/core.quarantine";
import type { CrashNote } from "@dotterelmoor/core.quarantine";
import type { ChangeLog } from "./change_log.ts";
import type { CatalogChange } from "./types.ts";

/** Applies changes of the crash table to the notes, and logs them. */
export class CrashTable {
  readonly notes = new CrashNotes();
  readonly #log: ChangeLog;

  constructor(log: ChangeLog) {
    this.#log = log;
  }

  add(note: CrashNote, version: number): void {
    this.notes.add(note);
    this.#log.add(note.key, { type: "crash_note", note }, version);
  }

  /** Also logs the removal of a note that is unknown here, because followers
   * may know it. */
  remove(key: string, version: number): void {
    this.notes.remove(key);
    this.#log.add(key, { type: "crash_note_removed", key }, version);
  }

  /** Removes the notes that a whole table does not list. */
  removeUnlisted(changes: readonly CatalogChange[], version: number): void {
    const listed = new Set(
      changes.map((change) =>
        change.type === "crash_note" ? change.note.key : ""
      ),
    );
    for (const { key } of this.notes.listAll()) {
      if (!listed.has(key)) this.remove(key, version);
    }
  }

  /** Returns the whole table as changes. */
  list(): CatalogChange[] {
    return this.notes.listAll().map((note) => ({ type: "crash_note", note }));
  }
}
