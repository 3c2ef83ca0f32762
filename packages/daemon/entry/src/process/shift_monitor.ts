/**
 * Computes the condition of a target group per window, as input of its ramp.
 *
 * @module
 */

import type { TargetCondition } from "@dotterelmoor/core.shifting";

/** Share of failed runs above which the condition of a group is bad. */
const MAX_FAILED_SHARE = 0.02;
/** Ratio of mean to baseline latency above which the condition is bad. */
const MAX_LATENCY_RATIO = 2;

/** Collects the results of a window. */
export interface ShiftMonitor {
  recordAnswer(latencyMs: number): void;
  /** Records a refusal, timeout or lost connection at a backend server. */
  recordFailure(): void;
  /** Computes the condition in this window and starts the next one. */
  closeWindow(): TargetCondition;
}

/** Creates the monitor of a group. */
export function createShiftMonitor(): ShiftMonitor {
  let answers = 0;
  let failures = 0;
  let latencySumMs = 0;
  let baselineMs: number | undefined;

  function computeCondition(): TargetCondition {
    const total = answers + failures;
    if (total === 0) return "unknown";
    if (failures / total > MAX_FAILED_SHARE) return "bad";
    if (answers === 0) return "unknown";
    const meanMs = latencySumMs / answers;
    if (baselineMs !== undefined && meanMs > baselineMs * MAX_LATENCY_RATIO) {
      return "bad";
    }
    // The baseline adapts slowly, so that a ramp cannot mask a slowdown.
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
      const condition = computeCondition();
      answers = 0;
      failures = 0;
      latencySumMs = 0;
      return condition;
    },
  };
}
