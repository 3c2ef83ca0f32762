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
import type { EventHandlers, StateMachine } from "@dotterelmoor/core.types";
import { SourceChoice } from "./source_choice.ts";
import { TableSchedule } from "./table_schedule.ts";
import {
  ANSWER_DUE_MS,
  computeReadAge,
  FIRST_PROBE_INTERVAL_MS,
  HEDGE_INTERVAL_MS,
  HEDGED_ENTRIES,
  NEW_ENTRY_MS,
  PROBE_INTERVAL_MS,
  PULL_INTERVAL_MS,
  STALE_MS,
  START_INTERVAL_MS,
  START_PHASE_MS,
  TABLE_TIMINGS,
} from "./timings.ts";
import type { CatalogSource, RefreshAction, RefreshEvent } from "./types.ts";

/** Tables whose rows must not become too old. */
const AGED_TABLES = ["servers", "orders"] as const;

const TABLES: readonly CatalogTable[] = [...AGED_TABLES, "crashes"];

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

/** Why a table is read: by the reader in turn, by the reader until a change, or
 * because the copy is too old. */
type ReadKind = "direct" | "poll" | "waiting";

interface PendingPull {
  readonly source: CatalogSource;
  readonly sentAtMs: number;
  readonly isHedge: boolean;
  isLate: boolean;
}

/** Creates a refresher without a copy. */
export function createRefresher(options: RefresherOptions): Refresher {
  return new CatalogRefresher(options);
}

class CatalogRefresher implements Refresher {
  readonly #options: RefresherOptions;
  readonly #choice: SourceChoice;
  readonly #tables: Readonly<Record<CatalogTable, TableSchedule>> = {
    servers: new TableSchedule(TABLE_TIMINGS.servers),
    orders: new TableSchedule(TABLE_TIMINGS.orders),
    crashes: new TableSchedule(TABLE_TIMINGS.crashes),
  };
  readonly #pulls = new Map<number, PendingPull>();
  /** Time for which pulls have shown the copy to be current. */
  #pulledAsOfMs = -Infinity;
  #source: string | undefined;
  #announcer: string | undefined;
  #firstAhead: string | undefined;
  #aheadSinceMs = -Infinity;
  #nextPullAtMs = -Infinity;
  #nextProbeAtMs = -Infinity;
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
      this.#readAgeMs(nowMs) >= STALE_MS;
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
    return Math.max(this.#tables[table].asOfMs, this.#pulledAsOfMs);
  }

  /** Age of what this entry itself has read. */
  #readAgeMs(nowMs: number): number {
    const { servers, orders } = this.#tables;
    return nowMs - Math.min(servers.asOfMs, orders.asOfMs);
  }

  #recordRead(id: number, nowMs: number, hasChanges: boolean): void {
    const { processId } = this.#options;
    for (const table of TABLES) {
      this.#tables[table].recordAnswer(id, nowMs, hasChanges);
    }
    if (this.#readAgeMs(nowMs) < STALE_MS) {
      this.#choice.recordReading(processId, nowMs);
    }
  }

  #recordFailedRead(id: number, nowMs: number): void {
    const { processId } = this.#options;
    const { entries } = this.#choice;
    for (const table of TABLES) {
      this.#tables[table].recordFailure(id, nowMs, entries);
    }
    const isFailing = AGED_TABLES.some((table) =>
      this.#tables[table].isFailing
    );
    if (isFailing && this.#readAgeMs(nowMs) >= STALE_MS) {
      this.#choice.fail(processId, nowMs);
    }
  }

  #recordPull(
    { id, ageMs, reader }: Extract<RefreshEvent, { type: "pulled" }>,
    nowMs: number,
  ): void {
    const pull = this.#pulls.get(id);
    if (pull === undefined) return;
    this.#pulls.delete(id);
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
    const pull = this.#pulls.get(id);
    this.#pulls.delete(id);
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
    for (const pull of this.#pulls.values()) {
      if (pull.isLate) continue;
      const dueAtMs = pull.sentAtMs + ANSWER_DUE_MS;
      if (!this.#isDue(dueAtMs, nowMs)) continue;
      pull.isLate = true;
      if (pull.source.type !== "process") continue;
      this.#failSource(pull.source.processId, nowMs);
    }
  }

  #chooseSource(nowMs: number): void {
    this.#choice.choose(nowMs);
    const { source } = this.#choice;
    const [firstAhead] = this.#choice.ahead;
    if (firstAhead !== this.#firstAhead) {
      this.#firstAhead = firstAhead;
      this.#aheadSinceMs = nowMs;
      this.#nextProbeAtMs = nowMs;
    }
    if (source === this.#source) return;
    this.#source = source;
    const ageMs = this.ageMs(nowMs);
    this.#actions.push({ type: "source_changed", source, ageMs });
    if (source !== this.#options.processId) return;
    for (const table of TABLES) this.#tables[table].start(nowMs);
  }

  /** Plans the reads of the region's reader. */
  #planReads(nowMs: number): void {
    const { processId, startedAtMs, joinMs } = this.#options;
    if (this.#source !== processId) return;
    const joinedAtMs = this.#isStarted ? -Infinity : startedAtMs + joinMs;
    for (const table of TABLES) {
      const schedule = this.#tables[table];
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
      const dueAtMs = this.#tables[table].getDirectAt(nowMs);
      if (this.#isDue(dueAtMs, nowMs)) this.#read(table, nowMs, "direct");
      return;
    }
  }

  #read(table: CatalogTable, nowMs: number, kind: ReadKind): void {
    const id = this.#takeId();
    const waitMs = this.#tables[table].send(id, nowMs, kind === "waiting");
    const isDirect = kind === "direct";
    this.#actions.push({ type: "read", id, table, waitMs, isDirect });
  }

  /** Plans one pull; pulls are sent one at a time until they are late, so that a
   * change is requested only once. */
  #planPull(nowMs: number): void {
    const isPulling = [...this.#pulls.values()]
      .some(({ isLate, isHedge }) => !isLate && !isHedge);
    if (isPulling) return;
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
    if (this.#choice.ahead.length === 0) return;
    if (!this.#isDue(this.#nextProbeAtMs, nowMs)) return;
    const isNew = nowMs - this.#aheadSinceMs < NEW_ENTRY_MS;
    this.#nextProbeAtMs = nowMs +
      (isNew ? FIRST_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS);
    const processId = this.#choice.takeProbed();
    if (processId !== undefined) {
      this.#pull({ type: "process", processId }, nowMs);
    }
  }

  /** Plans pulls from the entries that read the store before this one if its
   * copy is stale, whatever the source does. */
  #planHedges(nowMs: number): void {
    if (!this.#isStarted) return;
    const staleAtMs = nowMs - this.ageMs(nowMs) + STALE_MS;
    const dueAtMs = Math.max(staleAtMs, this.#nextHedgeAtMs);
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
    const isFailing = AGED_TABLES.some((table) =>
      this.#tables[table].isFailing
    );
    return isFailing ? { type: "any" } : undefined;
  }

  /** Sends a pull, unless one to the same entry is still pending. */
  #pull(source: CatalogSource, nowMs: number, isHedge = false): void {
    for (const pending of this.#pulls.values()) {
      if (isSameEntry(pending.source, source)) return;
    }
    const id = this.#takeId();
    this.#pulls.set(id, { source, sentAtMs: nowMs, isHedge, isLate: false });
    this.#actions.push({ type: "pull", id, source });
    this.#isDue(nowMs + ANSWER_DUE_MS, nowMs);
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

/** `any` may select another entry each time. */
function isSameEntry(a: CatalogSource, b: CatalogSource): boolean {
  if (a.type === "process") {
    return b.type === "process" && a.processId === b.processId;
  }
  if (a.type === "address") {
    return b.type === "address" && a.peerAddress === b.peerAddress;
  }
  return false;
}
