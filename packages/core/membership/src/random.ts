/**
 * Random selection from lists.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";

/** Returns a copy of a list in random order. */
export function toShuffled<T>(items: readonly T[], random: Random): T[] {
  const shuffled = items.slice();
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random() * (last + 1));
    [shuffled[last], shuffled[other]] = [shuffled[other]!, shuffled[last]!];
  }
  return shuffled;
}

/** Picks up to `count` distinct items in random order. */
export function takeRandom<T>(
  items: readonly T[],
  count: number,
  random: Random,
): T[] {
  return toShuffled(items, random).slice(0, count);
}

/** Picks one item; undefined if the list is empty. */
export function pickRandom<T>(
  items: readonly T[],
  random: Random,
): T | undefined {
  return items[Math.floor(random() * items.length)];
}
