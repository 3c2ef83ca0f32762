/**
 * Seeded random numbers and service times.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { ServerOptions } from "./types.ts";

/** Creates a seeded generator of numbers in [0, 1) (mulberry32). */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

const DISTRIBUTIONS: Readonly<
  Record<
    NonNullable<ServerOptions["distribution"]>,
    (meanMs: number, random: Random) => number
  >
> = {
  constant: (meanMs) => meanMs,
  uniform: (meanMs, random) => 2 * meanMs * random(),
  exponential: (meanMs, random) => -meanMs * Math.log(1 - random()),
};

/** Creates a generator of service times in milliseconds. */
export function createServiceTimes(options: ServerOptions): () => number {
  const random = createRandom(options.seed ?? 1);
  const draw = DISTRIBUTIONS[options.distribution ?? "constant"];
  const meanMs = options.serviceMs ?? 10;
  return () => draw(meanMs, random);
}
