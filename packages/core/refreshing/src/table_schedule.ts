/**
 * Reads of one table of the store by one entry.
 *
 * @module
 */

import {
  MIN_POLL_SHARE,
  RETRY_MS,
  RETRY_PER_ENTRY_MS,
  USUAL_CALL_MS,
} from "./timings.ts";
import type { TableTimings } from "./timings.ts";

interface PendingRead {
  readonly sentAtMs: number;
  /** 0 for a read that does not wait for a change. */
  readonly waitMs: number;
}

/** Place of an entry in its region. */
export interface RegionPlace {
  /** Number of entries in the region. */
  readonly entries: number;
  /** Position of this entry among those that read the store directly. */
  readonly rank: number;
}

/** Times at which a table is read, and the time for which its rows are known. */
export class TableSchedule {
  readonly #timings: TableTimings;
  readonly #pending = new Map<number, PendingRead>();
  #asOfMs = -Infinity;
  #nextPollAtMs = -Infinity;
  #nextWaitingAtMs = -Infinity;
  #nextDirectAtMs = -Infinity;
  #failures = 0;
  /** True once a read that does not wait was answered since the start or the
   * last failure: only that shows at once that the store answers. */
  #isConfirmed = false;

  constructor(timings: TableTimings) {
    this.#timings = timings;
  }

  /** Time for which this entry's own reads have shown the rows. */
  get asOfMs(): number {
    return this.#asOfMs;
  }

  /** True from a failed read until the next answer. */
  get isFailing(): boolean {
    return this.#failures > 0;
  }

  /** Starts the reads of the region's reader. */
  start(nowMs: number): void {
    this.#nextPollAtMs = Math.max(nowMs, this.#nextPollAtMs);
    this.#nextWaitingAtMs = nowMs + this.#timings.settleMs;
    this.#isConfirmed = false;
  }

  /** Time at which the reader's next poll is due; infinite for none. */
  get pollAtMs(): number {
    const isPolled = this.#timings.pollMs !== undefined || !this.#isConfirmed;
    return isPolled && !this.#hasPending(false) ? this.#nextPollAtMs : Infinity;
  }

  /** Time at which the reader's next waiting read is due; infinite for none. */
  get waitingAtMs(): number {
    const isWaited = this.#timings.waitMs !== undefined && this.#isConfirmed;
    return isWaited && !this.#hasPending(true)
      ? this.#nextWaitingAtMs
      : Infinity;
  }

  /** Time at which a direct read is due if the rows became too old at a time;
   * infinite while a read that does not wait is pending. */
  getDirectAt(tooOldAtMs: number): number {
    if (this.#hasPending(false)) return Infinity;
    return Math.max(tooOldAtMs, this.#nextDirectAtMs);
  }

  /** Records that a read was sent; returns how long the store may wait. */
  send(id: number, nowMs: number, isWaiting: boolean): number {
    const waitMs = isWaiting ? this.#timings.waitMs ?? 0 : 0;
    this.#pending.set(id, { sentAtMs: nowMs, waitMs });
    return waitMs;
  }

  /** Records an answer; ignored if the read is unknown. */
  recordAnswer(id: number, nowMs: number, hasChanges: boolean): void {
    const read = this.#pending.get(id);
    if (read === undefined) return;
    this.#pending.delete(id);
    this.#failures = 0;
    this.#nextDirectAtMs = -Infinity;
    this.#asOfMs = Math.max(this.#asOfMs, read.sentAtMs);
    if (read.waitMs > 0) this.#recordWait(read, nowMs, hasChanges);
    else this.#recordPoll(read, nowMs);
  }

  #recordWait(
    { sentAtMs, waitMs }: PendingRead,
    nowMs: number,
    hasChanges: boolean,
  ): void {
    const { pauseMs } = this.#timings;
    const hasWaited = nowMs >= sentAtMs + waitMs;
    // Without changes, the store answers at the end of the wait.
    if (hasWaited && !hasChanges) {
      this.#asOfMs = Math.max(this.#asOfMs, sentAtMs + waitMs);
    }
    // A store that does not wait must not be called again and again.
    const isExpected = hasWaited || hasChanges;
    this.#nextWaitingAtMs = nowMs + (isExpected ? pauseMs : RETRY_MS);
  }

  #recordPoll({ sentAtMs }: PendingRead, nowMs: number): void {
    const { pollMs = 0, pauseMs } = this.#timings;
    this.#isConfirmed = true;
    const excessMs = Math.max(0, nowMs - sentAtMs - USUAL_CALL_MS);
    const periodMs = Math.max(MIN_POLL_SHARE * pollMs, pollMs - excessMs);
    this.#nextPollAtMs = Math.max(nowMs + pauseMs, sentAtMs + periodMs);
  }

  /** Records a failed read; ignored if the read is unknown. */
  recordFailure(id: number, nowMs: number, place: RegionPlace): void {
    const read = this.#pending.get(id);
    if (read === undefined) return;
    this.#pending.delete(id);
    this.#failures += 1;
    this.#isConfirmed = false;
    this.#nextPollAtMs = Math.max(nowMs, read.sentAtMs + RETRY_MS);
    // The first ones follow each other by their ranks, and so do the next ones.
    const { entries, rank } = place;
    const turns = this.#failures === 1 ? rank + 1 : entries;
    const intervalMs = Math.max(RETRY_MS, turns * RETRY_PER_ENTRY_MS);
    this.#nextDirectAtMs = Math.max(nowMs, read.sentAtMs + intervalMs);
  }

  #hasPending(isWaiting: boolean): boolean {
    for (const { waitMs } of this.#pending.values()) {
      if (waitMs > 0 === isWaiting) return true;
    }
    return false;
  }
}
