/**
 * Signals and unhandled errors of a daemon's process.
 *
 * @module
 */

export {
  handleSignals,
  handleUnexpectedErrors,
  ignoreReloads,
} from "./process_events.ts";
export type { Daemon } from "./process_events.ts";
