/**
 * Records the events and actions of state machines as traces.
 *
 * @module
 */

export { decodeTraceValue, encodeTraceValue } from "./encoding.ts";
export { createRecorder } from "./recorder.ts";
export type { RecorderOptions } from "./recorder.ts";
export { parseTraceLine } from "./trace.ts";
export type { CallLine, EventLine, OptionsLine, TraceLine } from "./trace.ts";
