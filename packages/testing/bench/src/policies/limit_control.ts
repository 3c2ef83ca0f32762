/**
 * Controls for the number of requests that wait or run at a group.
 *
 * @module
 */

import { GROUP_SLOTS } from "./world.ts";

/** Limit that may adapt to the response times at the owner. */
export interface LimitControl {
  /** Maximum number of requests at the group, waiting or in flight. */
  readonly limit: number;
  /** Records the response time of an answered or timed-out request. */
  recordResponse(responseMs: number): void;
}

/** Responses per adjustment. */
const SAMPLE_SIZE = 12;
const MIN_LIMIT = 4;
const MAX_LIMIT = 10 * GROUP_SLOTS;
const START_LIMIT = 2 * GROUP_SLOTS;

/** Makes a control with a fixed number of requests per slot. */
export function makeFixedControl(perSlot: number): LimitControl {
  return { limit: perSlot * GROUP_SLOTS, recordResponse: () => {} };
}

/**
 * Makes a control that lowers the limit by 2 when the response time gets worse,
 * and raises it by 2 otherwise.
 */
export function makeAdaptiveControl(): LimitControl {
  let lastMs: number | undefined;
  return makeSampledControl((limit, meanMs) => {
    const isBetter = lastMs === undefined || meanMs <= lastMs;
    lastMs = meanMs;
    return isBetter ? limit + 2 : limit - 2;
  });
}

/**
 * Makes a control that multiplies the limit by the ratio of twice the best
 * response time to the current one, clamped to 0.5 to 1, and adds the square
 * root of the limit for a queue.
 */
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
