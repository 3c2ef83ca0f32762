/**
 * Follows one table of the store.
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

/** How each table is followed. Servers report every second or two, so waiting
 * for a change would end at once; a leaving server must be known in 2.5 s.
 * Orders are rare; a wait of 4 s and the time for an answer show a dead
 * connection after 4.6 s. Crashes are rarer still; after one, others follow at
 * once and are read together. */
const READING: Readonly<
  Record<CatalogTable, { readonly pauseMs: number; readonly waitMs: number }>
> = {
  servers: { pauseMs: 800, waitMs: 0 },
  orders: { pauseMs: 50, waitMs: 4_000 },
  crashes: { pauseMs: 200, waitMs: 4_000 },
};

/** Pause in milliseconds after a failed call: failed calls are paid for too,
 * and a change must be known within 2.5 s of the store's return. */
const FAILED_PAUSE_MS = 600;

/** Time in milliseconds without an answer after which records may have lapsed
 * unseen: three heartbeats, less one that was missed before. */
const OUTAGE_MS = 2_500;

/** Options of `TableReader`. */
export interface TableReaderOptions {
  readonly catalog: Catalog;
  readonly source: CatalogStore;
  readonly store: DisposableStore;
  readonly metrics: EdgeMetrics;
  readonly log: Logger;
  readonly onChanged: (source: string) => void;
  /** Time in milliseconds since the catalog was known to be current, by this
   * reader or by an entry that was followed. */
  readonly getCatalogAgeMs: () => number;
  /** Notes the answers of the store. */
  readonly contact: ContactClock;
}

/** Reads one table while it is started. */
export class TableReader {
  readonly #table: CatalogTable;
  readonly #options: TableReaderOptions;
  /** Grows with each start and stop, so that an earlier loop ends. */
  #run = 0;
  /** False if the whole table is to be read, as changes may be missing. */
  #isContinued = false;
  #answeredAtMs = -Infinity;
  #failingSinceMs: number | undefined;

  constructor(table: CatalogTable, options: TableReaderOptions) {
    this.#table = table;
    this.#options = options;
    options.store.add(() => this.stop());
  }

  get isFailing(): boolean {
    return this.#failingSinceMs !== undefined;
  }

  /** Time in milliseconds since the table was known as it is in the store. */
  ageMs(): number {
    const { waitMs } = READING[this.#table];
    const silentMs = performance.now() - this.#answeredAtMs;
    // A call that waits for a change is an answer that there is none yet.
    return this.isFailing ? silentMs : Math.max(0, silentMs - waitMs);
  }

  /** Starts to read, from where another entry left off if it was followed. */
  start(): void {
    this.#run += 1;
    this.#isContinued = this.#version > 0;
    this.#failingSinceMs = undefined;
    const run = this.#run;
    const isStopped = () => this.#run !== run;
    const { log } = this.#options;
    void runRepeatedly(() => this.#step(isStopped), { isStopped, log });
  }

  stop(): void {
    this.#run += 1;
    this.#answeredAtMs = -Infinity;
  }

  /** Reads once; returns the pause in milliseconds until the next read. */
  async #step(isStopped: () => boolean): Promise<number> {
    const { contact } = this.#options;
    const asked = contact.mark();
    const result = await this.#read();
    if (isStopped()) {
      // What was read still tells what other entries may not know yet.
      if (result.isOk()) this.#takeOver(result.value);
      return 0;
    }
    if (result.isErr()) {
      this.#recordFailure(result.error);
      return FAILED_PAUSE_MS;
    }
    contact.note(asked);
    this.#applyUpdate(result.value);
    return READING[this.#table].pauseMs;
  }

  get #version(): number {
    return this.#options.catalog.position[this.#table];
  }

  #read() {
    const { source } = this.#options;
    // A call that waits tells that the table is current, or of the store's
    // return, only when its wait is over.
    const isFirst = this.#answeredAtMs === -Infinity;
    const waitMs = this.isFailing || isFirst ? 0 : READING[this.#table].waitMs;
    return this.#isContinued
      ? source.readChanges(this.#table, { after: this.#version, waitMs })
      : source.readAll(this.#table);
  }

  #applyUpdate(update: TableUpdate): void {
    const { log } = this.#options;
    const table = this.#table;
    const nowMs = performance.now();
    this.#noteReturn(nowMs);
    this.#answeredAtMs = nowMs;
    this.#takeOver(update);
    if (update.isComplete) {
      const rows = update.changes.length;
      log.info({ table, version: update.version, rows }, "Table read.");
    }
    this.#isContinued = true;
  }

  #takeOver(update: TableUpdate): void {
    const { catalog, metrics, log, onChanged } = this.#options;
    const table = this.#table;
    metrics.storeCalls.inc({ table, outcome: "answered" });
    for (const change of update.changes) {
      if (change.type === "unreadable") log.warn(change, "Row left out.");
    }
    catalog.applyTable(table, update, performance.now());
    onChanged("store");
  }

  /** Entries take turns to read during an outage, so how long this one has
   * failed says less than how old the catalog is. */
  #noteReturn(nowMs: number): void {
    const { catalog, log, getCatalogAgeMs } = this.#options;
    const ageMs = getCatalogAgeMs();
    const wasAway = ageMs > OUTAGE_MS && Number.isFinite(ageMs);
    if (wasAway) catalog.markStoreReturned(nowMs);
    if (this.#failingSinceMs === undefined && !wasAway) return;
    this.#failingSinceMs = undefined;
    const table = this.#table;
    log.info({ table, ageMs, wasAway }, "Store answers again.");
  }

  #recordFailure(error: StoreError): void {
    const { metrics, log } = this.#options;
    const table = this.#table;
    metrics.storeCalls.inc({ table, outcome: error.code });
    if (error.code === "history-lost") {
      log.info({ table }, "History lost; reading the whole table.");
      this.#isContinued = false;
      return;
    }
    if (this.#failingSinceMs === undefined) {
      log.warn({ table, code: error.code }, `${error.message}.`);
    }
    this.#failingSinceMs ??= performance.now();
  }
}
