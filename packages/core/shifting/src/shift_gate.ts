/**
 * The shift gate of a target group.
 *
 * @module
 */

import type { ShiftGate, ShiftGateOptions } from "./types.ts";

/** Creates the gate for traffic shifted into one target group. */
export function createShiftGate(_options: ShiftGateOptions): ShiftGate {
  throw new Error("Not implemented");
}
