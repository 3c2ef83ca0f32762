/**
 * Simulates the entries of an installation that keep their copies of the
 * store's tables fresh, without a network and with a simulated clock.
 *
 * @module
 */

import type { CatalogTable } from "@dotterelmoor/core.catalog";
import type { Random } from "@dotterelmoor/core.types";
import { createRefresher } from "./refresher.ts";
import type { RefreshAction, Refresher, RefreshEvent } from "./types.ts";

/** Round trips in milliseconds between entries of a region, between regions, and
 * to the store from its own region. */
const NEAR_MS = 2;
const FAR_MS = 70;
const STORE_MS = 5;

/** Time in milliseconds after which a call to the store without an answer
 * fails, in addition to its wait. */
const STORE_TIMEOUT_MS = 600;

/** Time in milliseconds after which a pull without an answer fails. */
const PULL_TIMEOUT_MS = 2_500;

/** Time in milliseconds after which membership has removed a dead entry: probes,
 * suspicion and gossip take 2 to 3 s, and longer while many are lost. */
const REMOVAL_MS = 5_000;

/** Condition of an entry: `dead` entries answer nothing, and `frozen` ones do
 * nothing until they are sound again; `cut` ones answer other entries, and the
 * store answers them nothing; those that are `refused` get an error from it at
 * once. */
export type Condition = "cut" | "dead" | "frozen" | "refused" | "sound";

/** Options of `SimulatedInstallation`. */
export interface InstallationOptions {
  /** Number of entries in each region; the store is in the first one. */
  readonly regions: readonly number[];
  readonly random: Random;
  /** Longest delay in milliseconds with which an entry handles an event. */
  readonly lagMs: number;
  /** Time in milliseconds that the store takes for an answer. */
  readonly storeMs?: number;
}

/** One simulated entry. */
export interface SimulatedEntry {
  readonly id: string;
  readonly region: number;
  readonly refresher: Refresher;
  condition: Condition;
  /** Time at which the condition changed. */
  sinceMs: number;
  /** Time as of which the rows of each table are known. */
  readonly asOf: Record<CatalogTable, number>;
  /** Era of each table. */
  readonly eras: Record<CatalogTable, number>;
  /** Events of the time for which the entry is frozen. */
  readonly held: RefreshEvent[];
}

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Entries on a simulated clock. */
export class SimulatedInstallation {
  readonly entries: SimulatedEntry[] = [];
  readonly #options: InstallationOptions;
  readonly #queue: Scheduled[] = [];
  readonly #wakes = new Map<string, number>();
  #order = 0;
  #silencedAtMs = -Infinity;
  nowMs = 0;
  /** Number of calls to the store. */
  calls = 0;
  /** Number of reads of whole tables, since the store came back from a copy. */
  wholeReads = 0;
  /** Number of pulls. */
  pulls = 0;
  isStoreDown = false;
  /** Era of the store; rises when it comes back from a copy. */
  era = 1;

  constructor(options: InstallationOptions) {
    this.#options = options;
    options.regions.forEach((count, region) => {
      for (let index = 0; index < count; index++) {
        const id = `${region}-${String(index).padStart(3, "0")}`;
        this.#addEntry(id, region);
      }
    });
  }

  /** Entries of a region, in order of precedence. */
  listRegion(region: number): SimulatedEntry[] {
    return this.entries.filter((entry) => entry.region === region);
  }

  setCondition(entry: SimulatedEntry, condition: Condition): void {
    entry.condition = condition;
    entry.sinceMs = this.nowMs;
    for (const event of entry.held.splice(0)) this.#handle(entry, event);
    this.#tick(entry);
  }

  /** Silences the reads that wait at the store; they fail by their timeout. */
  silenceWaitingReads(): void {
    this.#silencedAtMs = this.nowMs;
  }

  /** Runs until a time; calls `check` after each event. */
  run(untilMs: number, check: () => void = () => {}): void {
    while (true) {
      const next = this.#takeNext(untilMs);
      if (next === undefined) break;
      this.nowMs = next.atMs;
      next.run();
      check();
    }
    this.nowMs = untilMs;
  }

  /** Time in milliseconds for which an entry knows nothing of changes. */
  trueAgeMs({ asOf }: SimulatedEntry): number {
    return this.nowMs - Math.min(asOf.servers, asOf.orders);
  }

  #addEntry(id: string, region: number): void {
    const startedAtMs = 300 * this.#options.random();
    const entry: SimulatedEntry = {
      id,
      region,
      refresher: createRefresher({ processId: id, startedAtMs, joinMs: 0 }),
      condition: "sound",
      sinceMs: -Infinity,
      asOf: { servers: -Infinity, orders: -Infinity, crashes: -Infinity },
      eras: { servers: 1, orders: 1, crashes: 1 },
      held: [],
    };
    this.entries.push(entry);
    this.#schedule(startedAtMs, () => this.#tick(entry));
  }

  #tick(entry: SimulatedEntry): void {
    this.#handle(entry, { type: "tick", region: this.#listLive(entry) });
  }

  #listLive({ region }: SimulatedEntry): string[] {
    return this.listRegion(region)
      .filter((entry) =>
        !isSilent(entry) || this.nowMs - entry.sinceMs < REMOVAL_MS
      )
      .map(({ id }) => id);
  }

  #handle(entry: SimulatedEntry, event: RefreshEvent): void {
    if (entry.condition === "frozen") entry.held.push(event);
    if (isSilent(entry)) return;
    for (const action of entry.refresher.handle(event, this.nowMs)) {
      this.#runAction(entry, action);
    }
    const { wakeAtMs } = entry.refresher;
    if (wakeAtMs === Infinity) return;
    this.#wakes.set(entry.id, wakeAtMs);
    this.#schedule(wakeAtMs + this.#lag(), () => {
      if (this.#wakes.get(entry.id) === wakeAtMs) this.#tick(entry);
    });
  }

  #runAction(entry: SimulatedEntry, action: RefreshAction): void {
    if (action.type === "read") this.#read(entry, action);
    if (action.type === "pull") this.#pull(entry, action);
  }

  #read(
    entry: SimulatedEntry,
    { id, table, waitMs, wholeAfterMs }: Extract<
      RefreshAction,
      { type: "read" }
    >,
  ): void {
    this.calls += 1;
    const { storeMs = 0 } = this.#options;
    const tripMs = (entry.region === 0 ? STORE_MS : FAR_MS + STORE_MS) +
      storeMs;
    const sentAtMs = this.nowMs;
    const answeredAtMs = sentAtMs + tripMs / 2 + waitMs;
    const fail = (afterMs: number) =>
      this.#schedule(
        sentAtMs + afterMs + this.#lag(),
        () => this.#handle(entry, { type: "read_failed", id }),
      );
    if (entry.condition === "refused") return fail(tripMs);
    this.#schedule(answeredAtMs, () => {
      const isSilenced = waitMs > 0 && this.#silencedAtMs >= sentAtMs;
      const isReachable = entry.condition === "sound" ||
        entry.condition === "frozen";
      const isLost = this.isStoreDown || !isReachable || isSilenced;
      if (isLost) return fail(waitMs + STORE_TIMEOUT_MS);
      const { era } = this;
      const isNewEra = entry.eras[table] < era;
      const arrivesAtMs = answeredAtMs + tripMs / 2 + this.#lag();
      const apply = () => {
        learn(entry, { [table]: answeredAtMs });
        this.#learnEras(entry, { ...entry.eras, [table]: era });
        this.#handle(entry, { type: "read", id, hasChanges: false });
      };
      if (!isNewEra) return this.#schedule(arrivesAtMs, apply);
      this.#schedule(arrivesAtMs + wholeAfterMs, () => {
        if (wholeAfterMs > 0 && entry.eras[table] >= era) {
          return this.#handle(entry, { type: "read_failed", id });
        }
        this.calls += 1;
        this.wholeReads += 1;
        this.#schedule(this.nowMs + tripMs + this.#lag(), apply);
      });
    });
  }

  #pull(
    entry: SimulatedEntry,
    { id, source }: Extract<RefreshAction, { type: "pull" }>,
  ): void {
    this.pulls += 1;
    const target = source.type === "process"
      ? this.entries.find((other) => other.id === source.processId)
      : this.#pickOther(entry);
    const tripMs = target?.region === entry.region ? NEAR_MS : FAR_MS;
    this.#schedule(this.nowMs + tripMs / 2 + this.#lag(), () => {
      if (target === undefined || isSilent(target)) {
        return this.#schedule(
          this.nowMs + PULL_TIMEOUT_MS,
          () => this.#handle(entry, { type: "pull_failed", id }),
        );
      }
      const ageMs = Math.min(1e9, target.refresher.ageMs(this.nowMs));
      const reader = target.refresher.getReader(this.nowMs);
      const asOf = { ...target.asOf };
      const eras = { ...target.eras };
      this.#schedule(this.nowMs + tripMs / 2 + this.#lag(), () => {
        learn(entry, asOf);
        this.#learnEras(entry, eras);
        this.#handle(entry, { type: "pulled", id, ageMs, reader });
      });
    });
  }

  #learnEras(
    entry: SimulatedEntry,
    eras: Readonly<Record<CatalogTable, number>>,
  ): void {
    const before = Math.max(...Object.values(entry.eras));
    for (const table of ["servers", "orders", "crashes"] as const) {
      entry.eras[table] = Math.max(entry.eras[table], eras[table]);
    }
    const hasChanged = Math.max(...Object.values(entry.eras)) > before;
    if (hasChanged) this.#handle(entry, { type: "era_changed" });
  }

  #pickOther(entry: SimulatedEntry): SimulatedEntry | undefined {
    const others = this.entries.filter((other) =>
      other !== entry && !isSilent(other)
    );
    return others[Math.floor(this.#options.random() * others.length)];
  }

  #lag(): number {
    return this.#options.random() * this.#options.lagMs;
  }

  #schedule(atMs: number, run: () => void): void {
    this.#order += 1;
    const item = { atMs, order: this.#order, run };
    const queue = this.#queue;
    queue.push(item);
    for (let index = queue.length - 1; index > 0;) {
      const parent = (index - 1) >> 1;
      if (!isBefore(item, queue[parent]!)) break;
      queue[index] = queue[parent]!;
      queue[parent] = item;
      index = parent;
    }
  }

  #takeNext(untilMs: number): Scheduled | undefined {
    const queue = this.#queue;
    const [first] = queue;
    if (first === undefined || first.atMs > untilMs) return undefined;
    const last = queue.pop()!;
    if (queue.length === 0) return first;
    queue[0] = last;
    for (let index = 0;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        const item = queue[child];
        if (item !== undefined && isBefore(item, queue[least]!)) least = child;
      }
      if (least === index) return first;
      [queue[index], queue[least]] = [queue[least]!, queue[index]!];
      index = least;
    }
  }
}

/** Records the times as of which an entry has got rows. */
function learn(
  { asOf }: SimulatedEntry,
  times: Partial<Record<CatalogTable, number>>,
): void {
  for (const table of ["servers", "orders", "crashes"] as const) {
    asOf[table] = Math.max(asOf[table], times[table] ?? -Infinity);
  }
}

function isSilent({ condition }: SimulatedEntry): boolean {
  return condition === "dead" || condition === "frozen";
}

function isBefore(a: Scheduled, b: Scheduled): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
