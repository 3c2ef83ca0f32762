/**
 * Ramp of the share of the cap that shifted traffic may use.
 *
 * @module
 */

import type { ShiftLimits } from "@dotterelmoor/core.types";
import type { TargetCondition } from "./types.ts";

/** Windows without demand after which the ramp restarts. */
const IDLE_WINDOWS = 3;

/**
 * Longest gap between measurements, in windows, before one counts as missing.
 * They arrive once per window and up to one tick of the process late.
 */
const MAX_GAP_WINDOWS = 1.9;

/**
 * Share of the allowance in use below which good measurements prove nothing.
 */
const USED_SHARE = 0.5;

/**
 * Steps up once per window of good measurements, steps down when they are bad
 * and holds when they are missing.
 */
export class Ramp {
  #limits: ShiftLimits;
  #share: number;
  /** Start of the current series of good measurements. */
  #goodSinceMs: number | undefined;
  #lastMeasuredMs = -Infinity;
  #lastStepMs = -Infinity;
  #lastStepDownMs = -Infinity;
  #lastDemandMs = -Infinity;

  constructor(limits: ShiftLimits) {
    this.#limits = limits;
    this.#share = limits.startShare;
  }

  get share(): number {
    return this.#share;
  }

  /** Requests allowed per window; at least one if the cap is above 0. */
  get allowed(): number {
    const { cap } = this.#limits;
    // The sum of steps such as 0.1 may be just below the exact share.
    const allowed = Math.floor(cap * this.#share + 1e-9);
    return Math.min(Math.floor(cap), Math.max(allowed, 1));
  }

  setLimits(limits: ShiftLimits): void {
    this.#limits = limits;
    this.#share = Math.min(1, Math.max(this.#share, limits.startShare));
  }

  recordDemand(nowMs: number): void {
    const idleMs = nowMs - this.#lastDemandMs;
    if (idleMs > IDLE_WINDOWS * this.#limits.windowMs) {
      this.#share = this.#limits.startShare;
      this.#lastStepMs = nowMs;
    }
    this.#lastDemandMs = nowMs;
  }

  recordMeasurement(
    condition: TargetCondition,
    options: { used: number; nowMs: number },
  ): void {
    const { nowMs } = options;
    const gapMs = nowMs - this.#lastMeasuredMs;
    if (
      condition !== "good" || gapMs > MAX_GAP_WINDOWS * this.#limits.windowMs
    ) {
      this.#goodSinceMs = undefined;
    }
    this.#lastMeasuredMs = nowMs;
    if (condition === "good") this.#stepUp(options);
    if (condition === "bad") this.#stepDown(nowMs);
  }

  #stepUp({ used, nowMs }: { used: number; nowMs: number }): void {
    const { windowMs, stepShare } = this.#limits;
    this.#goodSinceMs ??= nowMs;
    const sinceMs = Math.max(this.#goodSinceMs, this.#lastStepMs);
    if (nowMs - sinceMs < windowMs) return;
    if (used < this.allowed * USED_SHARE) return;
    this.#share = Math.min(1, this.#share + stepShare);
    this.#lastStepMs = nowMs;
  }

  #stepDown(nowMs: number): void {
    const { windowMs, stepShare, startShare } = this.#limits;
    if (nowMs - this.#lastStepDownMs < windowMs) return;
    this.#share = Math.max(startShare, this.#share - stepShare);
    this.#lastStepMs = nowMs;
    this.#lastStepDownMs = nowMs;
  }
}
