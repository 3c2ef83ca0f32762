/**
 * Records the events and actions of state machines as traces.
 *
 * @module
 */

export { createRecorder } from "./recorder.ts";
export type { RecorderOptions } from "./recorder.ts";
export { parseTraceLine } from "./trace.ts";
export type { EventLine, OptionsLine, TraceLine } from "./trace.ts";
