/**
 * Signs of life of other regions, spread faster than lists of their entries.
 *
 * @module
 */

import type { RegionSign } from "./messages.ts";

/**
 * Hops after which a sign is not passed on. Ages lack the time on the way, so
 * without a limit a sign could stay young for ever among slow processes. A
 * region of 48 entries needs about 6.
 */
const MAX_HOPS = 10;
/** Regions named in one message, the youngest signs first. */
const MAX_REGIONS = 16;

interface Sign {
  readonly atMs: number;
  readonly hops: number;
}

/** Times at which other regions were last known to have a live entry. */
export class RegionSigns {
  readonly #freshMs: number;
  #alive = new Map<string, Sign>();
  #emptyAtMs = new Map<string, number>();

  constructor(freshMs: number) {
    this.#freshMs = freshMs;
  }

  /** Notes that a region had a live entry; hops are those of the news. */
  note(region: string, atMs: number, hops = 0): void {
    const known = this.#alive.get(region);
    if (known && known.atMs >= atMs) return;
    this.#alive.set(region, { atMs, hops });
  }

  /** Notes that the last entry of a region left. */
  noteEmpty(region: string, atMs: number): void {
    const previous = this.#emptyAtMs.get(region) ?? -Infinity;
    this.#emptyAtMs.set(region, Math.max(previous, atMs));
  }

  /** True if a region had a live entry within the freshness. */
  isAlive(region: string, nowMs: number): boolean {
    const sign = this.#alive.get(region);
    return sign !== undefined && this.#isFresh(region, sign, nowMs);
  }

  /** Takes the signs of a message from the own region. */
  merge(signs: Readonly<Record<string, RegionSign>>, nowMs: number): void {
    for (const [region, [ageMs, hops]] of Object.entries(signs)) {
      this.note(region, nowMs - Math.max(0, ageMs), hops + 1);
    }
  }

  /** Signs as they go into a message now; undefined if there are none. */
  read(nowMs: number): Record<string, RegionSign> | undefined {
    const signs = Array.from(this.#alive)
      .filter(([region, sign]) =>
        sign.hops < MAX_HOPS && this.#isFresh(region, sign, nowMs)
      )
      .sort((a, b) => b[1].atMs - a[1].atMs)
      .slice(0, MAX_REGIONS)
      .map(([region, { atMs, hops }]): [string, RegionSign] => [
        region,
        [Math.round(nowMs - atMs), hops],
      ]);
    return signs.length > 0 ? Object.fromEntries(signs) : undefined;
  }

  /** Drops what is no longer fresh. */
  expire(nowMs: number): void {
    for (const [region, { atMs }] of this.#alive) {
      if (nowMs - atMs > this.#freshMs) this.#alive.delete(region);
    }
    for (const [region, atMs] of this.#emptyAtMs) {
      if (nowMs - atMs > this.#freshMs) this.#emptyAtMs.delete(region);
    }
  }

  #isFresh(region: string, { atMs }: Sign, nowMs: number): boolean {
    const emptyAtMs = this.#emptyAtMs.get(region) ?? -Infinity;
    return nowMs - atMs <= this.#freshMs && atMs > emptyAtMs;
  }
}
