/**
 * Notices that the store came back from an older copy.
 *
 * @module
 */

import { getPosition } from "@dotterelmoor/core.catalog";
import type {
  Catalog,
  CatalogTable,
  StorePosition,
} from "@dotterelmoor/core.catalog";
import type { Logger } from "pino";
import type { EdgeMetrics } from "./metrics.ts";

const TABLES: readonly CatalogTable[] = ["servers", "orders", "crashes"];

/** What this entry writes to the store again, for the log. */
export interface RenewedRows {
  readonly registration: boolean;
  readonly savedState: boolean;
  /** Number of crash notes and of removals of crash notes. */
  readonly crashNotes: number;
}

/** Options of `EraWatch`. */
export interface EraWatchOptions {
  readonly catalog: Catalog;
  readonly metrics: EdgeMetrics;
  readonly log: Logger;
  /** Called for each change of the era; writes again what this entry wrote. */
  readonly onEraChanged: () => RenewedRows;
}

/** A change of the era until all tables are of the new one. */
interface EraChange {
  readonly fromEra: number;
  readonly toEra: number;
  readonly source: string;
  readonly from: Readonly<Record<CatalogTable, StorePosition>>;
  readonly rows: Partial<Record<CatalogTable, number>>;
  readonly renewed: RenewedRows;
}

/** Compares the catalog's era before and after its updates. */
export class EraWatch {
  readonly #options: EraWatchOptions;
  #positions: Readonly<Record<CatalogTable, StorePosition>>;
  #change: EraChange | undefined;

  constructor(options: EraWatchOptions) {
    this.#options = options;
    this.#positions = this.#readPositions();
  }

  /** To be called after each update of the catalog, with the number of rows of
   * each table that was replaced whole; true if the era has changed. The first
   * era that an entry hears of is no change. */
  check(
    source: string,
    rows: Partial<Record<CatalogTable, number>>,
  ): boolean {
    const { catalog } = this.#options;
    const before = this.#positions;
    this.#positions = this.#readPositions();
    const knownEra = Math.max(...TABLES.map((table) => before[table].era));
    const wasKnown = TABLES.some((table) => before[table].version > 0);
    const hasChanged = wasKnown && catalog.era > knownEra;
    if (hasChanged) this.#start(source, { fromEra: knownEra, from: before });
    if (this.#change === undefined) return false;
    Object.assign(this.#change.rows, rows);
    this.#finish(this.#change);
    return hasChanged;
  }

  #start(
    source: string,
    before: Pick<EraChange, "from" | "fromEra">,
  ): void {
    const { catalog, metrics, onEraChanged } = this.#options;
    metrics.eraChanges.inc();
    const renewed = onEraChanged();
    const toEra = catalog.era;
    this.#change = { ...before, toEra, source, rows: {}, renewed };
  }

  /** Logs the change once all tables are of the new era. */
  #finish(change: EraChange): void {
    const { log } = this.#options;
    const to = this.#positions;
    const isBehind = TABLES.some((table) => to[table].era < change.toEra);
    if (isBehind) return;
    this.#change = undefined;
    log.warn({ ...change, to }, "The store came back from an older copy.");
  }

  #readPositions(): Readonly<Record<CatalogTable, StorePosition>> {
    const { position } = this.#options.catalog;
    return {
      servers: getPosition(position, "servers"),
      orders: getPosition(position, "orders"),
      crashes: getPosition(position, "crashes"),
    };
  }
}
