/**
 * Liveness signs of other regions, which spread faster than their entry lists.
 *
 * @module
 */

import type { RegionSign } from "./messages.ts";

/**
 * Hops after which a sign is not relayed. Ages do not include the transit time,
 * so that without a limit slow processes could keep a sign fresh forever. A
 * region of 48 entries needs about 6 hops.
 */
const MAX_HOPS = 10;
/** Maximum number of signs in one message; the freshest ones are sent. */
const MAX_REGIONS = 16;

interface Sign {
  readonly atMs: number;
  readonly hops: number;
}

/** Records when other regions were last known to have a live entry. */
export class RegionSigns {
  readonly #freshMs: number;
  #alive = new Map<string, Sign>();
  #emptyAtMs = new Map<string, number>();

  constructor(freshMs: number) {
    this.#freshMs = freshMs;
  }

  /** Records that a region had a live entry; `hops` counts the relays so far. */
  note(region: string, atMs: number, hops = 0): void {
    const known = this.#alive.get(region);
    if (known && known.atMs >= atMs) return;
    this.#alive.set(region, { atMs, hops });
  }

  /** Records that the last entry of a region left. */
  noteEmpty(region: string, atMs: number): void {
    const previous = this.#emptyAtMs.get(region) ?? -Infinity;
    this.#emptyAtMs.set(region, Math.max(previous, atMs));
  }

  /** Returns true if a region had a live entry within the freshness period. */
  isAlive(region: string, nowMs: number): boolean {
    const sign = this.#alive.get(region);
    return sign !== undefined && this.#isFresh(region, sign, nowMs);
  }

  /** Merges the signs of a message from the own region. */
  merge(signs: Readonly<Record<string, RegionSign>>, nowMs: number): void {
    for (const [region, [ageMs, hops]] of Object.entries(signs)) {
      this.note(region, nowMs - Math.max(0, ageMs), hops + 1);
    }
  }

  /** Returns the signs to send now; undefined if there are none. */
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

  /** Removes signs that are no longer fresh. */
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
