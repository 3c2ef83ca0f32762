/**
 * Decides how an entry keeps its copy of the store's tables fresh.
 *
 * @module
 */

export { createRefresher } from "./refresher.ts";
export { ANSWER_DUE_MS, STALE_MS } from "./timings.ts";
export type {
  CatalogSource,
  RefreshAction,
  Refresher,
  RefresherOptions,
  RefreshEvent,
} from "./types.ts";
