/**
 * Starts a small system on loopback, with process helpers for tests.
 *
 * @module
 */

export {
  callOperatorApi,
  lookUp,
  readCounters,
  sendRequest,
  setFaults,
  waitForGroups,
  waitUntil,
} from "./calling.ts";
export type {
  CallOperatorApiOptions,
  LookupOptions,
  LookupResponse,
  RequestResult,
  SendRequestOptions,
} from "./calling.ts";
export { loadExampleRows } from "./example_rows.ts";
export type {
  ExampleName,
  ExampleRows,
  LoadExampleRowsOptions,
} from "./example_rows.ts";
export { startProcess } from "./processes.ts";
export type { ProcessOptions, RunningProcess } from "./processes.ts";
export { OPERATOR_TOKEN } from "./entry_environment.ts";
export { startSystem } from "./system.ts";
export type {
  EntryProcess,
  PublishOptions,
  RunningSystem,
  ServerProcess,
  SystemOptions,
} from "./system.ts";
