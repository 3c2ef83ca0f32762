/**
 * Sums of the requests in flight from a region's entries at backend servers.
 *
 * @module
 */

export { createLoadBoard } from "./aggregator.ts";
export type { LoadBoard, LoadBoardOptions } from "./aggregator.ts";
export { createLoadReader } from "./reader.ts";
export type { LoadReader } from "./reader.ts";
export type { KnownServers, LoadCounts, PackedLoads } from "./types.ts";
