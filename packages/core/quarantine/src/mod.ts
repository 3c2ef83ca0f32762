/**
 * Suspects and convictions for requests that crash backend servers.
 *
 * @module
 */

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
