/**
 * Random choice from a list.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";

/** Copies a list in random order. */
export function toShuffled<T>(items: readonly T[], random: Random): T[] {
  const shuffled = items.slice();
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random() * (last + 1));
    [shuffled[last], shuffled[other]] = [shuffled[other]!, shuffled[last]!];
  }
  return shuffled;
}

/** Takes up to `count` different items in random order. */
export function takeRandom<T>(
  items: readonly T[],
  count: number,
  random: Random,
): T[] {
  return toShuffled(items, random).slice(0, count);
}

/** Picks one item, or nothing from an empty list. */
export function pickRandom<T>(
  items: readonly T[],
  random: Random,
): T | undefined {
  return items[Math.floor(random() * items.length)];
}
