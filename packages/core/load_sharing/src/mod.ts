/**
 * Sums of what a region's entries have in flight at backend servers.
 *
 * @module
 */

export { createLoadBoard } from "./board.ts";
export type { LoadBoard, LoadBoardOptions } from "./board.ts";
export { createLoadReader } from "./reader.ts";
export type { LoadReader } from "./reader.ts";
export type { KnownServers, LoadCounts, PackedLoads } from "./types.ts";
