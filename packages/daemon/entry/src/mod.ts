/**
 * Interface of the entry daemon for programs that embed it.
 *
 * @module
 */

export { startEntry } from "./wiring.ts";
export type { RunningEntry } from "./wiring.ts";
