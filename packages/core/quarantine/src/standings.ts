/**
 * Status of each fingerprint.
 *
 * @module
 */

import { BoundedMap } from "./bounded_map.ts";
import type { QuarantineEntry, Standing } from "./types.ts";

interface FingerprintRecord {
  readonly crashes: number;
  readonly untilMs: number;
}

/** Options of `Standings`; see `QuarantineOptions`. */
export interface StandingsOptions {
  readonly convictionMs: number;
  readonly suspicionMs: number;
  readonly liftHoldMs: number;
  readonly maxFingerprints: number;
}

/** Suspect, convicted and known good fingerprints in bounded memory. */
export class Standings {
  readonly #options: StandingsOptions;
  readonly #suspects: BoundedMap<FingerprintRecord>;
  readonly #convicted: BoundedMap<FingerprintRecord>;
  /** Fingerprints that were answered and have not become suspects since. */
  readonly #knownGood: BoundedMap<true>;
  readonly #liftedUntilMs: BoundedMap<number>;

  constructor(options: StandingsOptions) {
    const { maxFingerprints } = options;
    this.#options = options;
    this.#suspects = new BoundedMap(maxFingerprints);
    this.#convicted = new BoundedMap(maxFingerprints);
    this.#knownGood = new BoundedMap(maxFingerprints);
    this.#liftedUntilMs = new BoundedMap(maxFingerprints);
  }

  get isEmpty(): boolean {
    return this.#suspects.size + this.#convicted.size === 0;
  }

  classify(fingerprint: string, nowMs: number): Standing {
    if (this.getRemainingMs(fingerprint, nowMs) > 0) return "convicted";
    const suspect = this.#suspects.get(fingerprint);
    return suspect !== undefined && suspect.untilMs > nowMs
      ? "suspect"
      : "clear";
  }

  isKnownGood(fingerprint: string): boolean {
    return this.#knownGood.get(fingerprint) === true;
  }

  /** Returns the time until a conviction expires; 0 if there is none. */
  getRemainingMs(fingerprint: string, nowMs: number): number {
    const untilMs = this.#convicted.get(fingerprint)?.untilMs ?? nowMs;
    return Math.max(0, untilMs - nowMs);
  }

  getCrashes(fingerprint: string): number {
    return this.#suspects.get(fingerprint)?.crashes ?? 0;
  }

  /**
   * Returns the time since the last crash or report of a suspect; undefined if
   * the fingerprint is not a suspect.
   */
  getSuspicionAgeMs(fingerprint: string, nowMs: number): number | undefined {
    const untilMs = this.#suspects.get(fingerprint)?.untilMs ?? -Infinity;
    if (untilMs <= nowMs) return undefined;
    return this.#options.suspicionMs - (untilMs - nowMs);
  }

  markSuspect(fingerprint: string, nowMs: number): void {
    const crashes = this.getCrashes(fingerprint) + 1;
    const untilMs = nowMs + this.#options.suspicionMs;
    this.#knownGood.delete(fingerprint);
    this.#suspects.set(fingerprint, { crashes, untilMs });
  }

  markConvicted(fingerprint: string, nowMs: number): void {
    this.#liftedUntilMs.delete(fingerprint);
    this.#setConvicted(fingerprint, nowMs + this.#options.convictionMs);
  }

  /**
   * Adopts a conviction by another owner. Returns false if the conviction has
   * expired or the fingerprint was lifted recently.
   */
  addConvicted(
    fingerprint: string,
    options: { remainingMs: number; nowMs: number },
  ): boolean {
    const { remainingMs, nowMs } = options;
    const heldUntilMs = this.#liftedUntilMs.get(fingerprint) ?? -Infinity;
    if (heldUntilMs > nowMs || remainingMs <= 0) return false;
    const untilMs = nowMs + Math.min(remainingMs, this.#options.convictionMs);
    const knownMs = this.#convicted.get(fingerprint)?.untilMs ?? -Infinity;
    this.#setConvicted(fingerprint, Math.max(untilMs, knownMs));
    return true;
  }

  markKnownGood(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
    this.#knownGood.set(fingerprint, true);
  }

  /** Clears a fingerprint. Returns false if it was clear already. */
  lift(fingerprint: string, nowMs: number): boolean {
    const wasConvicted = this.#convicted.delete(fingerprint);
    const wasSuspect = this.#suspects.delete(fingerprint);
    const untilMs = nowMs + this.#options.liftHoldMs;
    this.#liftedUntilMs.set(fingerprint, untilMs);
    return wasConvicted || wasSuspect;
  }

  /** Removes expired suspects and convictions and returns their fingerprints. */
  expire(nowMs: number): string[] {
    const expired: string[] = [];
    for (const records of [this.#suspects, this.#convicted]) {
      for (const [fingerprint, { untilMs }] of records.entries()) {
        if (untilMs > nowMs) continue;
        records.delete(fingerprint);
        expired.push(fingerprint);
      }
    }
    return expired;
  }

  list(nowMs: number): QuarantineEntry[] {
    const kinds = [
      ["suspect", this.#suspects],
      ["convicted", this.#convicted],
    ] as const;
    return kinds.flatMap(([standing, records]) =>
      [...records.entries()].map(([fingerprint, { crashes, untilMs }]) => ({
        fingerprint,
        standing,
        crashes,
        remainingMs: untilMs - nowMs,
      }))
    ).filter(({ remainingMs }) => remainingMs > 0);
  }

  #setConvicted(fingerprint: string, untilMs: number): void {
    const knownCrashes = this.#convicted.get(fingerprint)?.crashes ?? 0;
    const crashes = Math.max(knownCrashes, this.getCrashes(fingerprint));
    this.#suspects.delete(fingerprint);
    this.#knownGood.delete(fingerprint);
    this.#convicted.set(fingerprint, { crashes, untilMs });
  }
}
