/**
 * Times at which entries before the source in the order are asked whether they
 * read the store.
 *
 * @module
 */

import {
  FIRST_PROBE_INTERVAL_MS,
  NEW_ENTRY_MS,
  PROBE_INTERVAL_MS,
} from "./timings.ts";

/** Schedule of the probes; a new first entry is probed at once, and more often
 * at first. */
export class ProbeSchedule {
  #first: string | undefined;
  #firstSinceMs = -Infinity;
  #nextAtMs = -Infinity;

  /** Time at which the next probe is due; infinite without an entry. */
  get dueAtMs(): number {
    return this.#first === undefined ? Infinity : this.#nextAtMs;
  }

  /** Sets the first of the entries before the source, if there is one. */
  setFirst(first: string | undefined, nowMs: number): void {
    if (first === this.#first) return;
    this.#first = first;
    this.#firstSinceMs = nowMs;
    this.#nextAtMs = nowMs;
  }

  recordSent(nowMs: number): void {
    const isNew = nowMs - this.#firstSinceMs < NEW_ENTRY_MS;
    this.#nextAtMs = nowMs +
      (isNew ? FIRST_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS);
  }
}
