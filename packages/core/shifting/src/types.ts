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
    /** An admitted request was certainly never sent; its place is free. */
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

/** Settings of a shift gate. */
export interface ShiftGateOptions {
  readonly limits: ShiftLimits;
  /** Time from which the whole cap counts as used for one window. */
  readonly startedAtMs: number;
  /**
   * Largest difference in transit between two admitted requests. The window is
   * longer by this much, so that the cap also holds where they arrive.
   */
  readonly jitterMs?: number;
}

/** Cap and ramp of the traffic shifted into one target group. */
export interface ShiftGate extends StateMachine<ShiftEvent, ShiftAction> {
  /** Share of the cap, 0 to 1, that the ramp allows now. */
  readonly share: number;
  /** Requests counted in the current window; the cap while it is unknown. */
  getUsed(nowMs: number): number;
  /** Requests that would be admitted at once. */
  getRoom(nowMs: number): number;
}
