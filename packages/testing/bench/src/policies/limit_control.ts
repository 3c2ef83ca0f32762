/**
 * Controls of the number of requests kept at a group.
 *
 * @module
 */

import { GROUP_SLOTS } from "./world.ts";

/** Adapts a limit to the response times at the owner. */
export interface LimitControl {
  /** Requests kept at the group, waiting or in flight. */
  readonly limit: number;
  recordResponse(responseMs: number): void;
}

/** Answers per adjustment. */
const SAMPLE_SIZE = 12;
const MIN_LIMIT = 4;
const MAX_LIMIT = 10 * GROUP_SLOTS;
const START_LIMIT = 2 * GROUP_SLOTS;

/** Keeps a number of requests per slot. */
export function makeFixedControl(perSlot: number): LimitControl {
  return { limit: perSlot * GROUP_SLOTS, recordResponse: () => {} };
}

/** Grows when the response time gets better and shrinks when it gets worse. */
export function makeAdaptiveControl(): LimitControl {
  let lastMs: number | undefined;
  return makeSampledControl((limit, meanMs) => {
    const isBetter = lastMs === undefined || meanMs <= lastMs;
    lastMs = meanMs;
    return isBetter ? limit + 2 : limit - 2;
  });
}

/** Scales with the best response time over the present one, plus a queue. */
export function makeGradientControl(): LimitControl {
  let bestMs = Infinity;
  return makeSampledControl((limit, meanMs) => {
    bestMs = Math.min(bestMs, meanMs);
    const gradient = Math.max(0.5, Math.min(1, 2 * bestMs / meanMs));
    return limit * gradient + Math.sqrt(limit);
  });
}

function makeSampledControl(
  adjust: (limit: number, meanMs: number) => number,
): LimitControl {
  let limit = START_LIMIT;
  let sumMs = 0;
  let samples = 0;
  return {
    get limit() {
      return Math.round(limit);
    },
    recordResponse(responseMs) {
      sumMs += responseMs;
      samples += 1;
      if (samples < SAMPLE_SIZE) return;
      const adjusted = adjust(limit, sumMs / samples);
      limit = Math.min(MAX_LIMIT, Math.max(MIN_LIMIT, adjusted));
      sumMs = 0;
      samples = 0;
    },
  };
}
