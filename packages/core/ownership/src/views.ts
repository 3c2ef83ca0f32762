/**
 * Rows as last read, with the time at which each version was first seen.
 *
 * @module
 */

import type { JsonValue, Random, TableRow } from "@dotterelmoor/core.types";
import type { Operations } from "./operations.ts";

/** A view that nobody polls is forgotten after this time. */
const FORGET_MS = 60_000;

/** A row as last read. */
export interface RowView {
  readonly version: number;
  readonly value: JsonValue;
  /** Time of the first read that showed this version. */
  readonly firstSeenMs: number;
  /** Time of the last read. */
  readonly readAtMs: number;
}

interface Schedule {
  inFlight: boolean;
  lastSentMs: number;
  lastPolledMs: number;
}

/** Receives each accepted reading and the time at which it was sent. */
export type Notify = (key: string, view: RowView, sentAtMs: number) => void;

/** Polls rows and keeps what they showed last. */
export class Views {
  readonly #operations: Operations;
  readonly #random: Random;
  readonly #notify: Notify;
  readonly #views = new Map<string, RowView>();
  readonly #schedules = new Map<string, Schedule>();

  constructor(operations: Operations, random: Random, notify: Notify) {
    this.#operations = operations;
    this.#random = random;
    this.#notify = notify;
  }

  get(key: string): RowView | undefined {
    return this.#views.get(key);
  }

  /** Records a row from an operation sent at the given time. */
  update(row: TableRow, sentAtMs: number, nowMs: number): void {
    const known = this.#views.get(row.key);
    if (known !== undefined && isOutdated(row, known, sentAtMs)) return;
    const view = {
      version: row.version,
      value: row.value,
      firstSeenMs: known?.version === row.version ? known.firstSeenMs : nowMs,
      readAtMs: nowMs,
    };
    this.#views.set(row.key, view);
    this.#notify(row.key, view, sentAtMs);
  }

  /** Reads a row again if its last read was sent an interval ago. */
  poll(key: string, intervalMs: number, nowMs: number): void {
    let schedule = this.#schedules.get(key);
    if (schedule === undefined) {
      schedule = { inFlight: false, lastSentMs: -Infinity, lastPolledMs: 0 };
      this.#schedules.set(key, schedule);
    }
    schedule.lastPolledMs = nowMs;
    if (schedule.inFlight || nowMs - schedule.lastSentMs < intervalMs) return;
    this.#send(key, schedule, intervalMs, nowMs);
  }

  /** Forgets rows that are of no interest any more. */
  expire(nowMs: number): void {
    for (const [key, schedule] of this.#schedules) {
      if (nowMs - schedule.lastPolledMs < FORGET_MS) continue;
      this.#schedules.delete(key);
      this.#views.delete(key);
    }
  }

  #send(
    key: string,
    schedule: Schedule,
    intervalMs: number,
    nowMs: number,
  ): void {
    schedule.inFlight = true;
    // Jitter keeps the reads of many processes from falling into step.
    schedule.lastSentMs = nowMs - this.#random() * 0.1 * intervalMs;
    this.#operations.read(key, nowMs, (result, sentAtMs, receivedAtMs) => {
      schedule.inFlight = false;
      if (result.type !== "rows") return;
      const row = result.rows.find((candidate) => candidate.key === key) ??
        { key, version: 0, value: null };
      this.update(row, sentAtMs, receivedAtMs);
    });
  }
}

/**
 * Tells whether a row is older than what is known. Versions of a key only grow,
 * so they decide; an absent row has none, and the times of the operations do.
 */
function isOutdated(row: TableRow, known: RowView, sentAtMs: number): boolean {
  return row.version !== 0 && known.version !== 0
    ? row.version < known.version
    : sentAtMs < known.readAtMs;
}
