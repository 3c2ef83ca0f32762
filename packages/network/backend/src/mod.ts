/**
 * Client of the backend servers and classification of outcomes.
 *
 * @module
 */

export { createBackendClient } from "./client.ts";
export { loadHealthChecks } from "./health.ts";
export { OWN_PROTOCOL } from "./protocol.ts";
export type { ServerProtocol } from "./protocol.ts";
export type {
  BackendClient,
  BackendClientOptions,
  BackendRequest,
  BackendResult,
  HealthResult,
  ListenState,
} from "./types.ts";
