/**
 * Operator commands for the quarantine, which read and change the stored notes.
 *
 * @module
 */

import type { CatalogChange } from "@dotterelmoor/core.catalog";
import { computeStanding, CrashNotes } from "@dotterelmoor/core.quarantine";
import type { Result } from "ts-results-es";
import type { CatalogStore, StoreError } from "../ports.ts";

/** Largest number of rows removed by one call; the store accepts 100. */
const MAX_REMOVED = 90;

/** Lists the quarantined requests, one line each: fingerprint, service, number
 * of crashes, number of trials, and time of the latest crash. */
export async function listQuarantined(
  source: Pick<CatalogStore, "readAll">,
  nowMs: number,
): Promise<Result<string[], StoreError>> {
  const read = await source.readAll("crashes");
  return read.map(({ changes }) => {
    const notes = collectNotes(changes);
    return notes.listFingerprints().flatMap((fingerprint) => {
      const standing = computeStanding(notes, fingerprint, nowMs);
      if (standing.type === "clear") return [];
      const { crashes, trials } = standing;
      const { service, atMs } = crashes.at(-1)!;
      const latest = new Date(atMs).toISOString();
      return [
        `${fingerprint} ${service} crashes=${crashes.length} trials=${trials} latest=${latest}`,
      ];
    });
  });
}

/** Removes all notes of a request, so that it is sent again; returns their
 * number. */
export async function liftQuarantine(
  source: Pick<CatalogStore, "changeCrashNotes" | "readAll">,
  fingerprint: string,
): Promise<Result<number, StoreError>> {
  const read = await source.readAll("crashes");
  if (read.isErr()) return read;
  const keys = collectNotes(read.value.changes).listFor(fingerprint)
    .map(({ key }) => key);
  for (let start = 0; start < keys.length; start += MAX_REMOVED) {
    const removedKeys = keys.slice(start, start + MAX_REMOVED);
    const removed = await source.changeCrashNotes({ notes: [], removedKeys });
    if (removed.isErr()) return removed;
  }
  return read.map(() => keys.length);
}

function collectNotes(changes: readonly CatalogChange[]): CrashNotes {
  const notes = new CrashNotes();
  for (const change of changes) {
    if (change.type === "crash_note") notes.add(change.note);
  }
  return notes;
}
