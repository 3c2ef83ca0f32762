/**
 * HTTP client for backend servers that classifies the outcome of each request.
 *
 * @module
 */

export { createBackendClient } from "./client.ts";
export { loadHealthChecks } from "./health.ts";
export { collectHeaders, createHeaderMap, joinValues } from "./headers.ts";
export { DEFAULT_PROTOCOL } from "./protocol.ts";
export type { ServerProtocol } from "./protocol.ts";
export type {
  AnswerRejection,
  BackendClient,
  BackendClientOptions,
  BackendRequest,
  BackendResult,
  HealthResult,
  ListenState,
  RequestBody,
} from "./types.ts";
