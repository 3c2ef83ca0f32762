/**
 * Replay of recorded traces.
 *
 * @module
 */

export { flags, handler, help, names } from "./command.ts";
export type { ReplayArguments, ReplayExitCode } from "./command.ts";
export { createRecorder } from "./recorder.ts";
export type { RecorderOptions } from "./recorder.ts";
export { runReplay } from "./replay.ts";
export type { ReplayResult } from "./replay.ts";
export { parseTraceLine } from "./trace.ts";
export type { EventLine, OptionsLine, TraceLine } from "./trace.ts";
