/**
 * Sliding-window cap and ramp for traffic shifted into a target group.
 *
 * @module
 */

export { createShiftGate } from "./shift_gate.ts";
export type {
  ShiftAction,
  ShiftEvent,
  ShiftGate,
  ShiftGateOptions,
  TargetCondition,
} from "./types.ts";
