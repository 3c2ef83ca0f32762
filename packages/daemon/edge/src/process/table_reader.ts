/**
 * Reads one table of the store and its changes.
 *
 * @module
 */

import type {
  Catalog,
  CatalogTable,
  TableUpdate,
} from "@dotterelmoor/core.catalog";
import type { DisposableStore } from "@dotterelmoor/core.types";
import type { Logger } from "pino";
import type { CatalogStore, StoreError } from "../ports.ts";
import type { ContactClock } from "./contact_clock.ts";
import { runRepeatedly } from "./intervals.ts";
import type { EdgeMetrics } from "./metrics.ts";

/** Pause after each read, and longest wait of a read for a change, in
 * milliseconds. Servers report every second or two, so a wait for a change
 * would end at once; a leaving server must be known within 2.5 s. The
 * configuration and evacuations, the `orders` table, change rarely; with a wait
 * of 4 s plus the time for an answer, a dead connection is detected after 4.6 s.
 * Crashes are even rarer, but several notes follow at once after a crash and are
 * read together. */
const READ_TIMINGS: Readonly<
  Record<CatalogTable, { readonly pauseMs: number; readonly waitMs: number }>
> = {
  servers: { pauseMs: 800, waitMs: 0 },
  orders: { pauseMs: 50, waitMs: 4_000 },
  crashes: { pauseMs: 200, waitMs: 4_000 },
};

/** Pause in milliseconds after a failed call: failed calls are billed too, and
 * a change must be known within 2.5 s after the store has recovered. */
const FAILED_PAUSE_MS = 600;

/** Age of the catalog in milliseconds above which server records may have
 * expired unnoticed: three heartbeats, less one that may have been missed before
 * the outage. */
const OUTAGE_MS = 2_500;

/** Options of `TableReader`. */
export interface TableReaderOptions {
  readonly catalog: Catalog;
  readonly source: CatalogStore;
  readonly store: DisposableStore;
  readonly metrics: EdgeMetrics;
  readonly log: Logger;
  /** Called with `store` after each update of the catalog. */
  readonly onChanged: (source: string) => void;
  /** Time in milliseconds since the catalog was last known to be current, by
   * reads of the store or by pulls. */
  readonly getCatalogAgeMs: () => number;
  /** Records the answers of the store. */
  readonly contact: ContactClock;
}

/** Reads one table between `start` and `stop`. */
export class TableReader {
  readonly #table: CatalogTable;
  readonly #options: TableReaderOptions;
  /** Incremented by each start and stop, so that an earlier loop ends. */
  #generation = 0;
  /** False if the whole table must be read because changes may be missing. */
  #isIncremental = false;
  #answeredAtMs = -Infinity;
  #failingSinceMs: number | undefined;

  constructor(table: CatalogTable, options: TableReaderOptions) {
    this.#table = table;
    this.#options = options;
    options.store.add(() => this.stop());
  }

  /** True from a failed call to the store until the next successful one. */
  get isFailing(): boolean {
    return this.#failingSinceMs !== undefined;
  }

  /** Time in milliseconds since the table was last known to be current. */
  ageMs(): number {
    const { waitMs } = READ_TIMINGS[this.#table];
    const silentMs = performance.now() - this.#answeredAtMs;
    // A call that is still waiting for a change means that there is none yet.
    return this.isFailing ? silentMs : Math.max(0, silentMs - waitMs);
  }

  /** Starts reading, from the catalog's version if one is known. */
  start(): void {
    this.#generation += 1;
    this.#isIncremental = this.#version > 0;
    this.#failingSinceMs = undefined;
    const generation = this.#generation;
    const isStopped = () => this.#generation !== generation;
    const { log } = this.#options;
    void runRepeatedly(() => this.#step(isStopped), { isStopped, log });
  }

  /** Stops reading; a pending answer is still applied. */
  stop(): void {
    this.#generation += 1;
    this.#answeredAtMs = -Infinity;
  }

  /** Reads once; returns the pause in milliseconds until the next read. */
  async #step(isStopped: () => boolean): Promise<number> {
    const { contact } = this.#options;
    const sentAt = contact.mark();
    const result = await this.#read();
    if (isStopped()) {
      // The answer may still hold changes that other entries lack.
      if (result.isOk()) this.#mergeUpdate(result.value);
      return 0;
    }
    if (result.isErr()) {
      this.#recordFailure(result.error);
      return FAILED_PAUSE_MS;
    }
    contact.note(sentAt);
    this.#applyUpdate(result.value);
    return READ_TIMINGS[this.#table].pauseMs;
  }

  get #version(): number {
    return this.#options.catalog.position[this.#table];
  }

  #read() {
    const { source } = this.#options;
    // A waiting call shows that the table is current, or that the store has
    // recovered, only when its wait is over.
    const isFirst = this.#answeredAtMs === -Infinity;
    const waitMs = this.isFailing || isFirst
      ? 0
      : READ_TIMINGS[this.#table].waitMs;
    return this.#isIncremental
      ? source.readChanges(this.#table, { after: this.#version, waitMs })
      : source.readAll(this.#table);
  }

  #applyUpdate(update: TableUpdate): void {
    const { log } = this.#options;
    const table = this.#table;
    const nowMs = performance.now();
    this.#recordRecovery(nowMs);
    this.#answeredAtMs = nowMs;
    this.#mergeUpdate(update);
    if (update.isComplete) {
      const rows = update.changes.length;
      log.info({ table, version: update.version, rows }, "Table read.");
    }
    this.#isIncremental = true;
  }

  #mergeUpdate(update: TableUpdate): void {
    const { catalog, metrics, log, onChanged } = this.#options;
    const table = this.#table;
    metrics.storeCalls.inc({ table, outcome: "answered" });
    for (const change of update.changes) {
      if (change.type === "unreadable") log.warn(change, "Unreadable row.");
    }
    catalog.applyTable(table, update, performance.now());
    onChanged("store");
  }

  /** Entries take turns reading during an outage, so the outage is measured by
   * the age of the catalog, not by the time for which this reader has
   * failed. */
  #recordRecovery(nowMs: number): void {
    const { catalog, log, getCatalogAgeMs } = this.#options;
    const ageMs = getCatalogAgeMs();
    const wasAway = ageMs > OUTAGE_MS && Number.isFinite(ageMs);
    if (wasAway) catalog.markStoreRecovered(nowMs);
    if (this.#failingSinceMs === undefined && !wasAway) return;
    this.#failingSinceMs = undefined;
    const table = this.#table;
    log.info({ table, ageMs, wasAway }, "Store is reachable again.");
  }

  #recordFailure(error: StoreError): void {
    const { metrics, log } = this.#options;
    const table = this.#table;
    metrics.storeCalls.inc({ table, outcome: error.code });
    if (error.code === "history-lost") {
      log.info({ table }, "Change history lost; reading the whole table.");
      this.#isIncremental = false;
      return;
    }
    if (this.#failingSinceMs === undefined) {
      log.warn({ table, code: error.code }, `${error.message}.`);
    }
    this.#failingSinceMs ??= performance.now();
  }
}
