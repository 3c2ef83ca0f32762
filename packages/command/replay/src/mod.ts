/**
 * Replay of recorded traces.
 *
 * @module
 */

export { flags, handler, help, names } from "./command.ts";
export type { ReplayArguments, ReplayExitCode } from "./command.ts";
export { runReplay } from "./replay.ts";
export type { ReplayResult } from "./replay.ts";
