/**
 * Sums of the requests in flight from a region's entries at backend servers.
 *
 * @module
 */

export { createLoadAggregator } from "./aggregator.ts";
export type { LoadAggregator, LoadAggregatorOptions } from "./aggregator.ts";
export { createLoadReader } from "./reader.ts";
export type { LoadReader } from "./reader.ts";
export type { KnownServers, LoadCounts, PackedLoads } from "./types.ts";
