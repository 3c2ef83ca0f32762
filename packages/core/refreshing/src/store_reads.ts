/**
 * Reads of the store's tables by one entry.
 *
 * @module
 */

import type { CatalogTable } from "@dotterelmoor/core.catalog";
import { TableSchedule } from "./table_schedule.ts";
import type { RegionPlace } from "./table_schedule.ts";
import { TABLE_TIMINGS } from "./timings.ts";

/** Tables whose rows must not become too old. */
export const AGED_TABLES = ["servers", "orders"] as const;

/** All tables, in the order in which they are read. */
export const TABLES: readonly CatalogTable[] = [...AGED_TABLES, "crashes"];

/** The schedules of all tables. */
export class StoreReads {
  readonly tables: Readonly<Record<CatalogTable, TableSchedule>> = {
    servers: new TableSchedule(TABLE_TIMINGS.servers),
    orders: new TableSchedule(TABLE_TIMINGS.orders),
    crashes: new TableSchedule(TABLE_TIMINGS.crashes),
  };

  /** Age in milliseconds of what this entry itself has read. */
  ageMs(nowMs: number): number {
    const times = AGED_TABLES.map((table) => this.tables[table].asOfMs);
    return nowMs - Math.min(...times);
  }

  /** True while the last read of a table whose age counts has failed. */
  get isFailing(): boolean {
    return AGED_TABLES.some((table) => this.tables[table].isFailing);
  }

  /** Starts the reads of the region's reader. */
  start(nowMs: number): void {
    for (const table of TABLES) this.tables[table].start(nowMs);
  }

  /** Records the answer to a read, whichever table it is of. */
  recordAnswer(id: number, nowMs: number, hasChanges: boolean): void {
    for (const table of TABLES) {
      this.tables[table].recordAnswer(id, nowMs, hasChanges);
    }
  }

  /** Records a failed read, whichever table it is of. */
  recordFailure(id: number, nowMs: number, place: RegionPlace): void {
    for (const table of TABLES) {
      this.tables[table].recordFailure(id, nowMs, place);
    }
  }
}
