/**
 * Isolates requests that crash backend servers.
 *
 * @module
 */

export { CrashNotes, makeNoteKey } from "./crash_notes.ts";
export type { CrashNote, CrashNoteType } from "./crash_notes.ts";
export { computeStanding, hasExpiredNotes } from "./crash_standing.ts";
export type { CrashStanding, QuarantinedStanding } from "./crash_standing.ts";
export { computeFingerprint } from "./fingerprint.ts";
export type { FingerprintOptions } from "./fingerprint.ts";
export { createQuarantine } from "./quarantine.ts";
export type {
  Quarantine,
  QuarantineAction,
  QuarantineEntry,
  QuarantineEvent,
  QuarantineOptions,
  RunResult,
  Standing,
} from "./types.ts";
