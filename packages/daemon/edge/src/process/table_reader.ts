/**
 * Reads one table of the store and its changes.
 *
 * @module
 */

import { comparePositions, getPosition } from "@dotterelmoor/core.catalog";
import type {
  Catalog,
  CatalogTable,
  StorePosition,
  TableUpdate,
} from "@dotterelmoor/core.catalog";
import type { Logger } from "pino";
import type { Result } from "ts-results-es";
import type { CatalogStore, StoreError } from "../ports.ts";
import type { ContactClock } from "./contact_clock.ts";
import { wait } from "./intervals.ts";
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
  /** Called after each update of the catalog, with the number of rows if a whole
   * table was read. */
  readonly onChanged: (rows: Partial<Record<CatalogTable, number>>) => void;
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
  /** Era to which the store went back, as of the last answer. */
  #earlierEra: number | undefined;
  #hasUnreadableEra = false;

  constructor(table: CatalogTable, options: TableReaderOptions) {
    this.#table = table;
    this.#options = options;
  }

  /** Reads the changes since the catalog's position, or the whole table if none is
   * known; the store may wait `waitMs` milliseconds for the first change. If the
   * changes cannot be read, reads the whole table after `wholeAfterMs`
   * milliseconds, unless another entry has provided it by then. Updates are
   * ordered by their positions, so the order of answers does not matter. */
  async read(waitMs: number, wholeAfterMs = 0): Promise<ReadResult> {
    const { contact, catalog } = this.#options;
    const sentAt = contact.mark();
    const sentInEra = catalog.era;
    const after = this.#position;
    let result = await this.#call(waitMs);
    if (this.#isOfEarlierEra(result, sentInEra)) return "failed";
    if (this.#mustReadAll(result, after)) {
      if (wholeAfterMs > 0) await wait(wholeAfterMs);
      if (comparePositions(this.#position, after) > 0) return "failed";
      this.#hasLostHistory = true;
      result = await this.#call(0);
      if (this.#isOfEarlierEra(result, sentInEra)) return "failed";
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
    const { era, version: after } = this.#position;
    const isKnown = era === catalog.era && (after > 0 || this.#hasRead) &&
      !this.#hasLostHistory;
    // As long as the store states an earlier era, whole tables are of no use.
    const hasEarlierEra = this.#earlierEra !== undefined && after > 0;
    return isKnown || hasEarlierEra
      ? source.readChanges(table, { after, waitMs })
      : source.readAll(table);
  }

  get #position(): StorePosition {
    return getPosition(this.#options.catalog.position, this.#table);
  }

  /** True if the changes after a position cannot be read: the store has discarded
   * them, or has come back from an older copy, so that they are others than those
   * after the same version of the former history. */
  #mustReadAll(
    result: Result<TableUpdate, StoreError>,
    after: StorePosition,
  ): boolean {
    const { log } = this.#options;
    const table = this.#table;
    if (result.isErr()) {
      if (result.error.code !== "history-lost") return false;
      log.info({ table }, "Change history lost; reading the whole table.");
      this.#countCall(result.error.code);
      return true;
    }
    const { era = this.#position.era, isComplete } = result.value;
    if (isComplete || era === after.era) return false;
    this.#countCall("new-era");
    return true;
  }

  /** True for an answer of a history that the store has left. One that was asked
   * for before that is late; any other means that the store states eras that go
   * back, and is treated like an outage. */
  #isOfEarlierEra(
    result: Result<TableUpdate, StoreError>,
    sentInEra: number,
  ): boolean {
    const { log, catalog } = this.#options;
    const { era } = result.isOk() ? result.value : result.error;
    if (era === undefined || era >= catalog.era) return false;
    const isLate = era >= sentInEra;
    this.#countCall(isLate ? "late-era" : "earlier-era");
    if (!isLate && this.#earlierEra !== era) {
      const table = this.#table;
      const fields = { table, era, knownEra: catalog.era };
      log.warn(fields, "The store went back to an earlier era; ignoring it.");
    }
    this.#earlierEra = isLate ? undefined : era;
    return true;
  }

  /** Logs the first of several answers whose era cannot be read; they count as
   * of the known era. */
  #checkEra({ hasUnreadableEra = false }: TableUpdate): void {
    const { log } = this.#options;
    const table = this.#table;
    if (hasUnreadableEra && !this.#hasUnreadableEra) {
      log.warn({ table }, "The store states an era that is no number.");
    }
    this.#hasUnreadableEra = hasUnreadableEra;
    this.#earlierEra = undefined;
  }

  #applyUpdate(stated: TableUpdate): void {
    const { catalog, log, onChanged } = this.#options;
    const table = this.#table;
    this.#checkEra(stated);
    const update = { ...stated, era: stated.era ?? catalog.era };
    const nowMs = performance.now();
    this.#recordRecovery(nowMs);
    this.#countCall("answered");
    for (const change of update.changes) {
      if (change.type === "unreadable") log.warn(change, "Unreadable row.");
    }
    catalog.applyTable(table, update, nowMs);
    this.#hasRead = true;
    const { era, version, isComplete, changes: { length: rows } } = update;
    onChanged(isComplete ? { [table]: rows } : {});
    if (!isComplete) return;
    this.#hasLostHistory = false;
    log.info({ table, era, version, rows }, "Table read.");
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
