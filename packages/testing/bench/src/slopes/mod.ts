/**
 * Benchmarks at several sizes, with fitted slopes.
 *
 * @module
 */

export { computeFit, computeFittedValue } from "./fitting.ts";
export type { Fit, Point } from "./fitting.ts";
export { measureAnswerSlopes, measureBlockSlopes } from "./lookup_slopes.ts";
export { renderMeasurements } from "./measurement.ts";
export type { Measurement } from "./measurement.ts";
export {
  measureSpreadSlopes,
  measureSummarySlopes,
  measureTrafficSlopes,
} from "./membership_slopes.ts";
export { measureMemory, measureSnapshotSlopes } from "./memory_slopes.ts";
export type { MemoryReading } from "./memory_slopes.ts";
export { measureStoreSlopes } from "./store_slopes.ts";
