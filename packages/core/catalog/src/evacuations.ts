/**
 * Evacuated availability zones, with a change log for the entries that follow
 * this one.
 *
 * @module
 */

import type { ChangeLog } from "./change_log.ts";
import type { CatalogChange } from "./types.ts";

/** Options of `Evacuations`. */
export interface EvacuationsOptions {
  readonly log: ChangeLog;
  /** Called when a zone was evacuated, or its evacuation has ended. */
  readonly onChanged: () => void;
  /** Time in milliseconds for which an evacuation counts that the store has
   * lost: its operator writes it again. */
  readonly graceMs: number;
}

/** The evacuations that one entry knows. */
export class Evacuations {
  readonly #options: EvacuationsOptions;
  /** By zone: the time since which the store lacks the evacuation; undefined
   * while it has it. */
  readonly #zones = new Map<string, number | undefined>();

  constructor(options: EvacuationsOptions) {
    this.#options = options;
  }

  has(zone: string): boolean {
    return this.#zones.has(zone);
  }

  /** Returns the evacuations that the store has as changes. */
  list(): CatalogChange[] {
    return [...this.#zones].flatMap(([zone, missingSinceMs]) =>
      missingSinceMs === undefined ? [{ type: "evacuation", zone }] : []
    );
  }

  set(zone: string, isEvacuated: boolean, version: number): void {
    const { log, onChanged } = this.#options;
    const type = isEvacuated ? "evacuation" : "evacuation_ended";
    // Logged even if it changes nothing here, because followers may lack it.
    log.add(`zone ${zone}`, { type, zone }, version);
    const isChanged = isEvacuated !== this.#zones.has(zone);
    if (isEvacuated) this.#zones.set(zone, undefined);
    else this.#zones.delete(zone);
    if (isChanged) onChanged();
  }

  /** Ends the evacuations that a whole table does not list. */
  endUnlisted(changes: readonly CatalogChange[], version: number): void {
    for (const zone of this.#findUnlisted(changes)) {
      this.set(zone, false, version);
    }
  }

  /** Marks the evacuations that a whole table of a new era does not list: the
   * store may have lost them. */
  markUnlisted(changes: readonly CatalogChange[], nowMs: number): void {
    for (const zone of this.#findUnlisted(changes)) {
      const sinceMs = this.#zones.get(zone) ?? nowMs;
      this.#zones.set(zone, sinceMs);
    }
  }

  /** Ends the evacuations that were not written again. Not logged: followers do
   * the same. */
  expire(nowMs: number): void {
    const { graceMs, onChanged } = this.#options;
    for (const [zone, sinceMs] of this.#zones) {
      if (sinceMs === undefined || nowMs - sinceMs < graceMs) continue;
      this.#zones.delete(zone);
      onChanged();
    }
  }

  #findUnlisted(changes: readonly CatalogChange[]): string[] {
    const listed = new Set(
      changes.map((change) => change.type === "evacuation" ? change.zone : ""),
    );
    return [...this.#zones.keys()].filter((zone) => !listed.has(zone));
  }
}
