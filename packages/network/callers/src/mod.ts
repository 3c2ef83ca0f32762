/**
 * Keeps the answers of callers' connections on which something breaks.
 *
 * @module
 */

export { BROKEN } from "./exchanges.ts";
export { watchConnections } from "./connections.ts";
export type {
  BrokenAction,
  BrokenConnection,
  ConnectionOptions,
} from "./connections.ts";
