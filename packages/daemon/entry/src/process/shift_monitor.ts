/**
 * Judges the condition of a target group, once per window, for its ramp.
 *
 * @module
 */

import type { TargetCondition } from "@dotterelmoor/core.shifting";

/** Share of failed runs above which a group is in bad condition. */
const MAX_FAILED_SHARE = 0.02;
/** Growth of the mean latency above which a group is in bad condition. */
const MAX_LATENCY_RATIO = 2;

/** Gathers the results of a window. */
export interface ShiftMonitor {
  recordAnswer(latencyMs: number): void;
  /** A refusal, timeout or lost connection at a backend server. */
  recordFailure(): void;
  /** Judges the window that ends and starts the next one. */
  closeWindow(): TargetCondition;
}

/** Creates the monitor of one group. */
export function createShiftMonitor(): ShiftMonitor {
  let answers = 0;
  let failures = 0;
  let latencySumMs = 0;
  let baselineMs: number | undefined;

  function judge(): TargetCondition {
    const total = answers + failures;
    if (total === 0) return "unknown";
    if (failures / total > MAX_FAILED_SHARE) return "bad";
    if (answers === 0) return "unknown";
    const meanMs = latencySumMs / answers;
    if (baselineMs !== undefined && meanMs > baselineMs * MAX_LATENCY_RATIO) {
      return "bad";
    }
    // The baseline follows slowly, so that a ramp cannot hide a slow-down.
    baselineMs = baselineMs === undefined
      ? meanMs
      : baselineMs * 0.9 + meanMs * 0.1;
    return "good";
  }

  return {
    recordAnswer: (latencyMs) => {
      answers += 1;
      latencySumMs += latencyMs;
    },
    recordFailure: () => {
      failures += 1;
    },
    closeWindow: () => {
      const condition = judge();
      answers = 0;
      failures = 0;
      latencySumMs = 0;
      return condition;
    },
  };
}
