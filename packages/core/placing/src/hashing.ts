/**
 * Hash functions for the placement of objects.
 *
 * @module
 */

import murmurhash from "murmurhash";

const UINT32 = 2 ** 32;

/** Hashes a text to a number uniformly distributed in [0, 1). */
export function computePosition(text: string): number {
  return computeHash(text) / UINT32;
}

/** Hashes a text to an exponentially distributed distance. Choosing the
 * candidate with the highest weight over distance selects each one in
 * proportion to its weight. */
export function computeDistance(text: string): number {
  return -Math.log((computeHash(text) + 1) / (UINT32 + 1));
}

/** 32-bit hash of a text. */
function computeHash(text: string): number {
  return murmurhash.v3(text);
}
