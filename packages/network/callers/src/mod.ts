/**
 * Keeps the answers of callers' connections that break or close.
 *
 * @module
 */

export { hasUnknownCoding } from "./codings.ts";
export { BROKEN } from "./exchanges.ts";
export { watchConnections } from "./connections.ts";
export { Pipelines } from "./pipelines.ts";
export type {
  BrokenAction,
  BrokenConnection,
  ConnectionOptions,
} from "./connections.ts";
