/**
 * Keeps one entry's copy of the store's tables fresh.
 *
 * One entry of each region, the reader, reads the store, and the others pull
 * from it. Calls to the store are billed, so this is the rule. What bounds the
 * age of a copy is another rule: an entry whose copy is too old reads the store
 * itself, whatever became of the reader. Entries do so one shortly after the
 * other, and pull from each other meanwhile.
 *
 * @module
 */

import type { CatalogTable } from "@dotterelmoor/core.catalog";
import { applyEvent } from "@dotterelmoor/core.types";
import type { EventHandlers } from "@dotterelmoor/core.types";
import { PendingPulls } from "./pending_pulls.ts";
import { ProbeSchedule } from "./probe_schedule.ts";
import { SourceChoice } from "./source_choice.ts";
import { AGED_TABLES, StoreReads, TABLES } from "./store_reads.ts";
import {
  computeReadAge,
  computeWholeDelay,
  HEDGE_INTERVAL_MS,
  HEDGE_PHASE_MS,
  HEDGED_ENTRIES,
  PULL_INTERVAL_MS,
  STALE_MS,
  START_INTERVAL_MS,
  START_PHASE_MS,
} from "./timings.ts";
import type {
  CatalogSource,
  RefreshAction,
  Refresher,
  RefresherOptions,
  RefreshEvent,
} from "./types.ts";

/** Why a table is read: by the reader in turn, by the reader until a change, or
 * because the copy is too old. */
type ReadKind = "direct" | "poll" | "waiting";

/** Creates a refresher without a copy. */
export function createRefresher(options: RefresherOptions): Refresher {
  return new CatalogRefresher(options);
}

class CatalogRefresher implements Refresher {
  readonly #options: RefresherOptions;
  readonly #choice: SourceChoice;
  readonly #reads = new StoreReads();
  readonly #pulls = new PendingPulls();
  /** Time for which pulls have shown the copy to be current. */
  #pulledAsOfMs = -Infinity;
  #source: string | undefined;
  #announcer: string | undefined;
  readonly #probes = new ProbeSchedule();
  #nextPullAtMs = -Infinity;
  #nextHedgeAtMs = -Infinity;
  #ids = 0;
  #actions: RefreshAction[] = [];
  #wakeAtMs = -Infinity;

  readonly #handlers: EventHandlers<RefreshEvent, void> = {
    tick: ({ region }) => this.#choice.setOrder(region),
    read: ({ id, hasChanges }, nowMs) =>
      this.#recordRead(id, nowMs, hasChanges),
    read_failed: ({ id }, nowMs) => this.#recordFailedRead(id, nowMs),
    pulled: (event, nowMs) => this.#recordPull(event, nowMs),
    pull_failed: ({ id }, nowMs) => this.#recordFailedPull(id, nowMs),
    era_changed: (_event, nowMs) => this.#reads.start(nowMs),
    announced: ({ peerAddress }) => {
      this.#announcer = peerAddress;
    },
  };

  constructor(options: RefresherOptions) {
    this.#options = options;
    this.#choice = new SourceChoice(options.processId);
  }

  get source(): string | undefined {
    return this.#source;
  }

  get wakeAtMs(): number {
    return this.#wakeAtMs;
  }

  ageMs(nowMs: number): number {
    return nowMs - Math.min(...AGED_TABLES.map((table) => this.#asOf(table)));
  }

  getReader(nowMs: number): string | undefined {
    const isFailing = this.#source === this.#options.processId &&
      this.#reads.ageMs(nowMs) >= STALE_MS;
    return isFailing ? undefined : this.#source;
  }

  handle(event: RefreshEvent, nowMs: number): RefreshAction[] {
    this.#actions = [];
    this.#wakeAtMs = Infinity;
    applyEvent(this.#handlers, event, nowMs);
    this.#markLatePulls(nowMs);
    this.#chooseSource(nowMs);
    this.#planReads(nowMs);
    this.#planDirectReads(nowMs);
    this.#planPull(nowMs);
    this.#planHedges(nowMs);
    return this.#actions;
  }

  get #isStarted(): boolean {
    return AGED_TABLES.every((table) => this.#asOf(table) > -Infinity);
  }

  /** Time for which a table's rows are known. */
  #asOf(table: CatalogTable): number {
    return Math.max(this.#reads.tables[table].asOfMs, this.#pulledAsOfMs);
  }

  #recordRead(id: number, nowMs: number, hasChanges: boolean): void {
    const { processId } = this.#options;
    this.#reads.recordAnswer(id, nowMs, hasChanges);
    if (this.#reads.ageMs(nowMs) < STALE_MS) {
      this.#choice.recordReading(processId, nowMs);
    }
  }

  #recordFailedRead(id: number, nowMs: number): void {
    const { processId } = this.#options;
    const { entries, rank } = this.#choice;
    this.#reads.recordFailure(id, nowMs, { entries, rank });
    if (this.#reads.isFailing && this.#reads.ageMs(nowMs) >= STALE_MS) {
      this.#choice.fail(processId, nowMs);
    }
  }

  #recordPull(
    { id, ageMs, reader }: Extract<RefreshEvent, { type: "pulled" }>,
    nowMs: number,
  ): void {
    const pull = this.#pulls.take(id);
    if (pull === undefined) return;
    const { source, sentAtMs } = pull;
    // The answer may be as old as its request.
    const asOfMs = sentAtMs - ageMs;
    this.#pulledAsOfMs = Math.max(this.#pulledAsOfMs, asOfMs);
    if (source.type !== "process") return;
    const { processId } = source;
    const isFresh = nowMs - asOfMs < STALE_MS;
    if (isFresh && reader === processId) {
      return this.#choice.recordReading(processId, nowMs);
    }
    if (processId !== this.#source) return;
    const isNamed = isFresh && reader !== undefined &&
      this.#choice.followNamed(reader, nowMs);
    if (!isNamed && this.#choice.isSettled(nowMs)) {
      this.#failSource(processId, nowMs);
    }
  }

  #recordFailedPull(id: number, nowMs: number): void {
    const pull = this.#pulls.take(id);
    if (pull?.source.type !== "process") return;
    this.#failSource(pull.source.processId, nowMs);
  }

  /** Gives the source up, unless this entry has only just started. */
  #failSource(processId: string, nowMs: number): void {
    const { startedAtMs } = this.#options;
    if (processId !== this.#source) return;
    if (!this.#isStarted && nowMs - startedAtMs < START_PHASE_MS) return;
    this.#choice.fail(processId, nowMs);
    this.#nextPullAtMs = nowMs;
  }

  #markLatePulls(nowMs: number): void {
    for (const source of this.#pulls.markLate(nowMs)) {
      if (source.type === "process") this.#failSource(source.processId, nowMs);
    }
    this.#isDue(this.#pulls.lateAtMs, nowMs);
  }

  #chooseSource(nowMs: number): void {
    this.#choice.choose(nowMs);
    const { source } = this.#choice;
    this.#probes.setFirst(this.#choice.ahead[0], nowMs);
    if (source === this.#source) return;
    this.#source = source;
    const ageMs = this.ageMs(nowMs);
    this.#actions.push({ type: "source_changed", source, ageMs });
    if (source === this.#options.processId) this.#reads.start(nowMs);
  }

  /** Plans the reads of the region's reader. */
  #planReads(nowMs: number): void {
    const { processId, startedAtMs, joinMs } = this.#options;
    if (this.#source !== processId) return;
    const joinedAtMs = this.#isStarted ? -Infinity : startedAtMs + joinMs;
    for (const table of TABLES) {
      const schedule = this.#reads.tables[table];
      const pollAtMs = Math.max(schedule.pollAtMs, joinedAtMs);
      if (this.#isDue(pollAtMs, nowMs)) this.#read(table, nowMs, "poll");
      if (this.#isDue(schedule.waitingAtMs, nowMs)) {
        this.#read(table, nowMs, "waiting");
      }
    }
  }

  /** Plans the read of an entry whose copy is too old. The next table is read
   * when the store has answered for the one before it: in an outage, one call
   * shows that. */
  #planDirectReads(nowMs: number): void {
    const { startedAtMs, joinMs } = this.#options;
    const readAgeMs = computeReadAge(this.#choice.rank);
    for (const table of AGED_TABLES) {
      const asOfMs = Math.max(this.#asOf(table), startedAtMs + joinMs);
      const isTooOld = this.#isDue(asOfMs + readAgeMs, nowMs);
      if (!isTooOld) continue;
      const dueAtMs = this.#reads.tables[table].getDirectAt(nowMs);
      if (this.#isDue(dueAtMs, nowMs)) this.#read(table, nowMs, "direct");
      return;
    }
  }

  #read(table: CatalogTable, nowMs: number, kind: ReadKind): void {
    const id = this.#takeId();
    const schedule = this.#reads.tables[table];
    const waitMs = schedule.send(id, nowMs, kind === "waiting");
    const isDirect = kind === "direct";
    const wholeAfterMs = isDirect ? computeWholeDelay(this.#choice.rank) : 0;
    this.#actions.push({
      type: "read",
      id,
      table,
      waitMs,
      isDirect,
      wholeAfterMs,
    });
  }

  /** Plans one pull; pulls are sent one at a time until they are late, so that a
   * change is requested only once. */
  #planPull(nowMs: number): void {
    if (this.#pulls.isWaiting) return;
    if (this.#announcer !== undefined) {
      const peerAddress = this.#announcer;
      this.#announcer = undefined;
      return this.#pull({ type: "address", peerAddress }, nowMs);
    }
    const source = this.#choosePulled();
    if (source !== undefined && this.#isDue(this.#nextPullAtMs, nowMs)) {
      const isStarted = this.#isStarted;
      this.#nextPullAtMs = nowMs +
        (isStarted ? PULL_INTERVAL_MS : START_INTERVAL_MS);
      return this.#pull(source, nowMs);
    }
    if (!this.#isDue(this.#probes.dueAtMs, nowMs)) return;
    this.#probes.recordSent(nowMs);
    const processId = this.#choice.takeProbed();
    if (processId !== undefined) {
      this.#pull({ type: "process", processId }, nowMs);
    }
  }

  /** Plans pulls from the entries that read the store before this one when its
   * copy has become stale, whatever the source does. */
  #planHedges(nowMs: number): void {
    const ageMs = this.ageMs(nowMs);
    if (ageMs > STALE_MS + HEDGE_PHASE_MS) return;
    const dueAtMs = Math.max(nowMs - ageMs + STALE_MS, this.#nextHedgeAtMs);
    if (!this.#isDue(dueAtMs, nowMs)) return;
    this.#nextHedgeAtMs = nowMs + HEDGE_INTERVAL_MS;
    for (const processId of this.#choice.listFirst(HEDGED_ENTRIES)) {
      this.#pull({ type: "process", processId }, nowMs, true);
    }
  }

  /** Chooses what is pulled from at intervals; undefined for a reader that the
   * store answers. */
  #choosePulled(): CatalogSource | undefined {
    const source = this.#source;
    if (source === undefined) return { type: "any" };
    if (source !== this.#options.processId) {
      return { type: "process", processId: source };
    }
    return this.#reads.isFailing ? { type: "any" } : undefined;
  }

  /** Sends a pull, unless one to the same entry is still pending. */
  #pull(source: CatalogSource, nowMs: number, isHedge = false): void {
    if (this.#pulls.hasPending(source)) return;
    const id = this.#takeId();
    this.#pulls.add(id, { source, sentAtMs: nowMs, isHedge });
    this.#actions.push({ type: "pull", id, source });
    this.#isDue(this.#pulls.lateAtMs, nowMs);
  }

  #takeId(): number {
    this.#ids += 1;
    return this.#ids;
  }

  /** True if a time has come; otherwise schedules the next tick by it. */
  #isDue(atMs: number, nowMs: number): boolean {
    if (atMs <= nowMs) return true;
    this.#wakeAtMs = Math.min(this.#wakeAtMs, atMs);
    return false;
  }
}
