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
 * Time for a conviction to reach every region. Until then only the home region
 * runs a suspect again; otherwise each region could lose a second server.
 */
const CONVICTION_PROPAGATION_MS = 2_000;
/**
 * Maximum wait of an admitted request for its server, as a share of the shift
 * window. The gate extends its window by this wait, so that the cap also holds
 * at the servers; a larger share would leave more of the cap unused.
 */
const MAX_WAIT_SHARE = 0.05;

/** Options of `ShiftAdmission`. */
export interface ShiftAdmissionOptions {
  readonly region: string;
  readonly gate: ShiftGate;
  readonly quarantine: Quarantine;
  readonly windowMs: number;
  readonly startedAtMs: number;
}

/** Computes the maximum wait of an admitted request for its server. */
export function computeShiftWaitMs(limits: ShiftLimits): number {
  return limits.windowMs * MAX_WAIT_SHARE;
}

/** Applies the shift cap of a group and passes measurements to its ramp. */
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

  /** True if the request has another home region. */
  isShifted(execution: Execution): boolean {
    return execution.homeRegion !== this.#options.region;
  }

  /** Time of admission for `withdraw`; undefined for requests not shifted. */
  findAdmittedAt(execution: Execution, nowMs: number): number | undefined {
    return this.isShifted(execution) ? nowMs : undefined;
  }

  /**
   * Takes a place under the cap; returns the refusal if none is free. The
   * quarantine comes first, as callers retry after the refusal of a used cap.
   */
  admit(execution: Execution, nowMs: number): NotRun | undefined {
    if (!this.isShifted(execution)) return undefined;
    const { gate, quarantine } = this.#options;
    const { fingerprint } = execution;
    const remainingMs = quarantine.getRemainingMs(fingerprint, nowMs);
    if (remainingMs > 0) {
      return makeNotRun("quarantined", Math.ceil(remainingMs));
    }
    const ageMs = quarantine.getSuspicionAgeMs(fingerprint, nowMs);
    if (ageMs !== undefined && ageMs < CONVICTION_PROPAGATION_MS) {
      return makeNotRun("quarantined", CONVICTION_PROPAGATION_MS - ageMs);
    }
    const event = { type: "admit", id: execution.requestId } as const;
    for (const action of gate.handle(event, nowMs)) {
      if (action.type === "refused") {
        return makeNotRun("shift-cap", action.retryAfterMs);
      }
    }
    return undefined;
  }

  /** Computes the latest time to send a shifted request within the cap. */
  computeSendBy({ admittedAtMs }: GroupRun): number | undefined {
    if (admittedAtMs === undefined) return undefined;
    return admittedAtMs + this.#windowMs * MAX_WAIT_SHARE;
  }

  /** Frees the place under the cap if the request was never sent. */
  withdraw({ admittedAtMs, isSent }: GroupRun, nowMs: number): void {
    if (admittedAtMs === undefined || isSent) return;
    this.#options.gate.handle({ type: "withdraw", admittedAtMs }, nowMs);
  }

  setLimits(limits: ShiftLimits, nowMs: number): void {
    this.#windowMs = limits.windowMs;
    this.#options.gate.handle({ type: "settings", limits }, nowMs);
  }

  /** Reports the condition of the group to the gate once per window. */
  tick(nowMs: number): void {
    if (nowMs < this.#windowEndsMs) return;
    this.#windowEndsMs = nowMs + this.#windowMs;
    const condition = this.monitor.closeWindow();
    this.#options.gate.handle({ type: "measurement", condition }, nowMs);
  }
}
