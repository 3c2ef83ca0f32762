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
import type { Logger } from "pino";
import type { Result } from "ts-results-es";
import type { CatalogStore, StoreError } from "../ports.ts";
import type { ContactClock } from "./contact_clock.ts";
import type { EdgeMetrics } from "./metrics.ts";

/** Age of the catalog in milliseconds above which server records may have
 * expired in an outage: three heartbeats, less one that may have been missed
 * before it. */
const OUTAGE_MS = 2_500;

/** Options of `TableReader`. */
export interface TableReaderOptions {
  readonly catalog: Catalog;
  readonly source: CatalogStore;
  readonly metrics: EdgeMetrics;
  readonly log: Logger;
  /** Called after each update of the catalog. */
  readonly onChanged: () => void;
  /** Time in milliseconds since the catalog was last known to be current, by
   * reads of the store or by pulls. */
  readonly getCatalogAgeMs: () => number;
  /** Records the answers of the store for the `orders` table. */
  readonly contact: ContactClock;
}

/** Result of one read. */
export type ReadResult = "changed" | "failed" | "unchanged";

/** Reads one table; several reads may run at the same time. */
export class TableReader {
  readonly #table: CatalogTable;
  readonly #options: TableReaderOptions;
  /** True once the table was read: its version may be 0, as that of an empty
   * store. */
  #hasRead = false;
  /** True if changes may be missing, so that the whole table must be read. */
  #hasLostHistory = false;
  #isFailing = false;
  #failedAtMs = -Infinity;

  constructor(table: CatalogTable, options: TableReaderOptions) {
    this.#table = table;
    this.#options = options;
  }

  /** Reads the changes since the catalog's version, or the whole table if none
   * is known; the store may wait `waitMs` milliseconds for the first change.
   * Updates are ordered by their versions, so the order of answers does not
   * matter. */
  async read(waitMs: number): Promise<ReadResult> {
    const { contact, log } = this.#options;
    const sentAt = contact.mark();
    let result = await this.#call(waitMs);
    if (result.isErr() && result.error.code === "history-lost") {
      const table = this.#table;
      log.info({ table }, "Change history lost; reading the whole table.");
      this.#countCall(result.error.code);
      this.#hasLostHistory = true;
      result = await this.#call(0);
    }
    if (result.isErr()) {
      this.#recordFailure(result.error);
      return "failed";
    }
    // Contact is for routes whose regions may change, so only the table that
    // holds them shows it.
    if (this.#table === "orders") contact.note(sentAt);
    this.#applyUpdate(result.value);
    return result.value.changes.length > 0 ? "changed" : "unchanged";
  }

  #call(waitMs: number): Promise<Result<TableUpdate, StoreError>> {
    const { source, catalog } = this.#options;
    const table = this.#table;
    const after = catalog.position[table];
    const isKnown = after > 0 || this.#hasRead;
    return isKnown && !this.#hasLostHistory
      ? source.readChanges(table, { after, waitMs })
      : source.readAll(table);
  }

  #applyUpdate(update: TableUpdate): void {
    const { catalog, log, onChanged } = this.#options;
    const table = this.#table;
    const nowMs = performance.now();
    this.#recordRecovery(nowMs);
    this.#countCall("answered");
    for (const change of update.changes) {
      if (change.type === "unreadable") log.warn(change, "Unreadable row.");
    }
    catalog.applyTable(table, update, nowMs);
    this.#hasRead = true;
    onChanged();
    if (!update.isComplete) return;
    this.#hasLostHistory = false;
    const rows = update.changes.length;
    log.info({ table, version: update.version, rows }, "Table read.");
  }

  /** Only an outage excuses records that are missing. An old catalog alone does
   * not show one: this entry may have stood still, or lost those that it pulls
   * from, while the store answered. In an outage, each entry whose catalog
   * became old has called the store itself, and failed. */
  #recordRecovery(nowMs: number): void {
    const { catalog, log, getCatalogAgeMs } = this.#options;
    const ageMs = getCatalogAgeMs();
    const wasAway = ageMs > OUTAGE_MS && Number.isFinite(ageMs) &&
      this.#failedAtMs >= nowMs - ageMs;
    if (wasAway) catalog.markStoreRecovered(nowMs);
    if (!this.#isFailing) return;
    this.#isFailing = false;
    const table = this.#table;
    log.info({ table, ageMs, wasAway }, "Store is reachable again.");
  }

  #recordFailure(error: StoreError): void {
    const { log } = this.#options;
    const table = this.#table;
    this.#countCall(error.code);
    if (!this.#isFailing) {
      log.warn({ table, code: error.code }, `${error.message}.`);
    }
    this.#isFailing = true;
    this.#failedAtMs = performance.now();
  }

  #countCall(outcome: string): void {
    const { metrics } = this.#options;
    metrics.storeCalls.inc({ table: this.#table, outcome });
  }
}
