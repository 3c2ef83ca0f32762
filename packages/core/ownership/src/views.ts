/**
 * Cache of table rows, with the time at which each version was first seen.
 *
 * @module
 */

import type { JsonValue, Random, TableRow } from "@dotterelmoor/core.types";
import type { Operations } from "./operations.ts";

/** Time after the last poll at which a row is evicted. */
const FORGET_MS = 60_000;

/** A row as of the last read. */
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

/** Receives each row that is not outdated, with the send time of its read. */
export type RowListener = (
  key: string,
  view: RowView,
  sentAtMs: number,
) => void;

/** Polls rows and caches the last read of each. */
export class Views {
  readonly #operations: Operations;
  readonly #random: Random;
  readonly #notify: RowListener;
  readonly #views = new Map<string, RowView>();
  readonly #schedules = new Map<string, Schedule>();

  constructor(operations: Operations, random: Random, notify: RowListener) {
    this.#operations = operations;
    this.#random = random;
    this.#notify = notify;
  }

  get(key: string): RowView | undefined {
    return this.#views.get(key);
  }

  /** Records a row from an operation that was sent at the given time. */
  update(row: TableRow, sentAtMs: number, nowMs: number): void {
    const cached = this.#views.get(row.key);
    if (cached !== undefined && isOutdated(row, cached, sentAtMs)) return;
    const view = {
      version: row.version,
      value: row.value,
      firstSeenMs: cached?.version === row.version ? cached.firstSeenMs : nowMs,
      readAtMs: nowMs,
    };
    this.#views.set(row.key, view);
    this.#notify(row.key, view, sentAtMs);
  }

  /** Reads a row if the interval has passed since the last read was sent. */
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

  /** Evicts rows that are no longer polled. */
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
    // Jitter keeps the reads of many processes from synchronizing.
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
 * Returns true if a row is older than the cached one. Versions of a key only
 * grow, so they decide. A missing row has no version; then the send time of the
 * operation decides.
 */
function isOutdated(row: TableRow, known: RowView, sentAtMs: number): boolean {
  return row.version !== 0 && known.version !== 0
    ? row.version < known.version
    : sentAtMs < known.readAtMs;
}
