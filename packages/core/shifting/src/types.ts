/**
 * Events, actions and queries of the shift gate.
 *
 * @module
 */

import type { ShiftLimits, StateMachine } from "@dotterelmoor/core.types";

/** State of the target group; `unknown` when measurements are missing. */
export type TargetCondition = "good" | "bad" | "unknown";

/** Input of the shift gate. */
export type ShiftEvent =
  | { readonly type: "admit"; readonly id: string }
  | {
    /** An admitted request was certainly never sent and no longer counts. */
    readonly type: "withdraw";
    readonly admittedAtMs: number;
  }
  | { readonly type: "measurement"; readonly condition: TargetCondition }
  | { readonly type: "settings"; readonly limits: ShiftLimits };

/** Output of the shift gate. */
export type ShiftAction =
  | { readonly type: "admitted"; readonly id: string }
  | {
    readonly type: "refused";
    readonly id: string;
    readonly retryAfterMs: number;
  };

/** Options of a shift gate. */
export interface ShiftGateOptions {
  readonly limits: ShiftLimits;
  /** Start time; the whole cap counts as used for one window from then on. */
  readonly startedAtMs: number;
  /**
   * Largest difference in transit time between two admitted requests. The
   * window is extended by this much, so that the cap also holds where they
   * arrive.
   */
  readonly jitterMs?: number;
}

/** Cap and ramp of the traffic shifted into one target group. */
export interface ShiftGate extends StateMachine<ShiftEvent, ShiftAction> {
  /** Share of the cap, 0 to 1, that the ramp allows now. */
  readonly share: number;
  /**
   * Returns the number of requests counted in the current window; the cap while
   * that is unknown.
   */
  getUsed(nowMs: number): number;
  /** Returns how many requests would be admitted now. */
  getRemaining(nowMs: number): number;
}
