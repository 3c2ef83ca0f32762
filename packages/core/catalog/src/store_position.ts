/**
 * Positions in the store's history.
 *
 * The store may come back from an older copy of its rows. Its versions then go
 * back and are given out again, so a version alone does not tell which of two
 * updates is the later one. The era, which rises each time, does.
 *
 * @module
 */

import type { CatalogPosition, CatalogTable } from "./types.ts";

/** Position in the store's history. */
export interface StorePosition {
  /** Number of the history; 0 if the store does not state it. */
  readonly era: number;
  /** Version within the era. */
  readonly version: number;
}

/** Position before the first read. */
export const UNKNOWN_POSITION: StorePosition = { era: 0, version: 0 };

/** Compares two positions: negative if the first one is earlier, 0 if they are
 * the same, positive otherwise. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return a.era - b.era || a.version - b.version;
}

/** Returns the position of one table. */
export function getPosition(
  position: CatalogPosition,
  table: CatalogTable,
): StorePosition {
  return {
    era: position.eras?.[table] ?? 0,
    version: position[table] ?? 0,
  };
}

/** Returns the position at which an update was made. */
export function getUpdatePosition(
  { era = 0, version }: { readonly era?: number; readonly version: number },
): StorePosition {
  return { era, version };
}
