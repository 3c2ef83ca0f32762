/**
 * Interface of the entry daemon for programs that embed it.
 *
 * @module
 */

export { createEntry, startEntry } from "./wiring.ts";
export type { Entry, RunningEntry } from "./wiring.ts";
