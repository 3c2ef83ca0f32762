/**
 * Generates open-loop arrivals from a seeded random generator.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { MixRequest } from "./mix.ts";

/** A request and its intended start time. */
export interface Arrival {
  readonly sequence: number;
  /** Intended start in milliseconds since the start of the run. */
  readonly atMs: number;
  readonly request: MixRequest;
  /** Id that is unique within a run and equal in runs with the same seed. */
  readonly id: string;
}

/** Options of `createArrivals`. */
export interface ArrivalOptions {
  readonly seed: number;
  readonly ratePerSecond: number;
  readonly requests: readonly MixRequest[];
  readonly durationMs: number;
  readonly maxRequests: number;
}

/**
 * Yields the arrivals in order of time. The gaps are exponentially distributed,
 * so each start is independent of earlier responses and of the other starts.
 */
export function* createArrivals(
  options: ArrivalOptions,
): Generator<Arrival, void> {
  const generator = xoroshiro128plus(options.seed);
  const total = options.requests.reduce((sum, { share }) => sum + share, 0);
  let atMs = 0;
  for (let sequence = 0; sequence < options.maxRequests; sequence++) {
    const gap = -Math.log(1 - uniformFloat64(generator));
    atMs += gap * 1_000 / options.ratePerSecond;
    const pick = uniformFloat64(generator) * total;
    if (atMs >= options.durationMs) return;
    const request = pickRequest(options.requests, pick);
    yield { sequence, atMs, request, id: `load-${options.seed}-${sequence}` };
  }
}

function pickRequest(
  requests: readonly MixRequest[],
  pick: number,
): MixRequest {
  let sum = 0;
  for (const request of requests) {
    sum += request.share;
    if (pick < sum) return request;
  }
  return requests.at(-1)!;
}
