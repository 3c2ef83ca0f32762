/**
 * Routes, backend servers and evacuations as the platform reports them.
 *
 * @module
 */

export { createCatalog } from "./catalog.ts";
export type { Catalog, CatalogOptions } from "./catalog.ts";
export { createRouteIndex } from "./route_index.ts";
export type { RouteIndex } from "./route_index.ts";
export { createSplitter } from "./splitter.ts";
export type { Splitter } from "./splitter.ts";
export { comparePositions, getPosition } from "./store_position.ts";
export type { StorePosition } from "./store_position.ts";
export type {
  CallerLimits,
  CatalogChange,
  CatalogDelta,
  CatalogPosition,
  CatalogTable,
  RouteRecord,
  RoutingDocument,
  ServerRecord,
  ServiceRecord,
  SplitTarget,
  TableUpdate,
  TrackedServer,
} from "./types.ts";
