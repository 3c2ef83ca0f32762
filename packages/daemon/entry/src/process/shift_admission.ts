/**
 * Admits traffic that is shifted into an owned group, within its cap.
 *
 * @module
 */

import type { Quarantine } from "@dotterelmoor/core.quarantine";
import type { ShiftGate } from "@dotterelmoor/core.shifting";
import type { NotRun, ShiftLimits } from "@dotterelmoor/core.types";
import type { Execution } from "../request/execution.ts";
import type { GroupRun } from "../request/group_run.ts";
import { makeNotRun } from "../request/not_run.ts";
import { createShiftMonitor } from "./shift_monitor.ts";

/**
 * Time in which a conviction reaches every region. Meanwhile only the home
 * region runs a suspect again, or each region could lose a second server.
 */
const SUSPICION_SPREAD_MS = 2_000;
/**
 * Share of a shift window that an admitted request may wait for its server.
 * The window is longer by as much, so that the cap holds at the servers too;
 * a larger share would leave more of the cap unused.
 */
const WAIT_SHARE = 0.05;

/** Options of a shift admission. */
export interface ShiftAdmissionOptions {
  readonly region: string;
  readonly gate: ShiftGate;
  readonly quarantine: Quarantine;
  readonly windowMs: number;
  readonly startedAtMs: number;
}

/** Computes how long an admitted request may wait for its server. */
export function computeShiftWaitMs(limits: ShiftLimits): number {
  return limits.windowMs * WAIT_SHARE;
}

/** Applies the cap of one group and feeds its ramp with measurements. */
export class ShiftAdmission {
  readonly monitor = createShiftMonitor();
  readonly #options: ShiftAdmissionOptions;
  #windowMs: number;
  #windowEndsMs: number;

  constructor(options: ShiftAdmissionOptions) {
    this.#options = options;
    this.#windowMs = options.windowMs;
    this.#windowEndsMs = options.startedAtMs + options.windowMs;
  }

  /** Tells whether a request comes from another home region. */
  isShifted(execution: Execution): boolean {
    return execution.homeRegion !== this.#options.region;
  }

  /** Time to keep for a withdrawal, undefined for traffic of this region. */
  findAdmittedAt(execution: Execution, nowMs: number): number | undefined {
    return this.isShifted(execution) ? nowMs : undefined;
  }

  /** Takes a place under the cap; returns the refusal if there is none. */
  admit(execution: Execution, nowMs: number): NotRun | undefined {
    if (!this.isShifted(execution)) return undefined;
    const { gate, quarantine } = this.#options;
    const ageMs = quarantine.getSuspicionAgeMs(execution.fingerprint, nowMs);
    if (ageMs !== undefined && ageMs < SUSPICION_SPREAD_MS) {
      return makeNotRun("quarantined", SUSPICION_SPREAD_MS - ageMs);
    }
    const event = { type: "admit", id: execution.requestId } as const;
    for (const action of gate.handle(event, nowMs)) {
      if (action.type === "refused") {
        return makeNotRun("shift-cap", action.retryAfterMs);
      }
    }
    return undefined;
  }

  /** Time by which a shifted request must be sent, so that the cap holds. */
  computeSendBy({ admittedAtMs }: GroupRun): number | undefined {
    if (admittedAtMs === undefined) return undefined;
    return admittedAtMs + this.#windowMs * WAIT_SHARE;
  }

  /** Gives the place under the cap back if the request was never sent. */
  withdraw({ admittedAtMs, isSent }: GroupRun, nowMs: number): void {
    if (admittedAtMs === undefined || isSent) return;
    this.#options.gate.handle({ type: "withdraw", admittedAtMs }, nowMs);
  }

  setLimits(limits: ShiftLimits, nowMs: number): void {
    this.#windowMs = limits.windowMs;
    this.#options.gate.handle({ type: "settings", limits }, nowMs);
  }

  /** Measures the group once per window. */
  tick(nowMs: number): void {
    if (nowMs < this.#windowEndsMs) return;
    this.#windowEndsMs = nowMs + this.#windowMs;
    const condition = this.monitor.closeWindow();
    this.#options.gate.handle({ type: "measurement", condition }, nowMs);
  }
}
