/**
 * Launcher of a small system on loopback and process helpers for tests.
 *
 * @module
 */

export { startProcess } from "./processes.ts";
export type { ProcessOptions, RunningProcess } from "./processes.ts";
