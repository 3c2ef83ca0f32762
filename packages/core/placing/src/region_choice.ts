/**
 * Chooses the region of an object that is not assigned yet.
 *
 * Callers of each region request different objects, and regions with the same
 * demand have different numbers of slots. A region with less than an even share
 * of the slots sends part of its objects to regions with more.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { computeDistance, computePosition } from "./hashing.ts";

/** Number of slots in one region. */
export interface RegionSlots {
  readonly region: string;
  readonly slots: number;
}

/** Options of `chooseRegion`. */
export interface RegionChoiceOptions {
  /** Region of the callers that request the object. */
  readonly home: string;
  readonly regionSlots: readonly RegionSlots[];
  /** True if answers from other regions would be too late. */
  readonly keepsHome: boolean;
}

/** Chooses a region deterministically, so that all entries agree; undefined if
 * no region has slots. */
export function chooseRegion(
  object: string,
  { home, regionSlots, keepsHome }: RegionChoiceOptions,
): string | undefined {
  const total = regionSlots.reduce((sum, { slots }) => sum + slots, 0);
  const evenShare = total / regionSlots.length;
  const homeSlots = regionSlots.find(({ region }) => region === home)?.slots ??
    0;
  const isHome = homeSlots > 0 &&
    (keepsHome || computePosition(`\0${object}`) < homeSlots / evenShare);
  if (isHome) return home;
  const surplus = regionSlots.map(({ region, slots }) => ({
    region,
    slots: region === home ? 0 : Math.max(0, slots - evenShare),
  }));
  return chooseWeighted(surplus, object) ?? chooseWeighted(regionSlots, object);
}

/** Weighted rendezvous hashing: if the slots of one region change, only the
 * objects that it gains or loses move. */
function chooseWeighted(
  regionSlots: readonly RegionSlots[],
  object: string,
): string | undefined {
  let best: string | undefined;
  let bestScore = -Infinity;
  for (const { region, slots } of regionSlots) {
    if (slots <= 0) continue;
    const score = slots / computeDistance(`${region} ${object}`);
    if (score <= bestScore) continue;
    best = region;
    bestScore = score;
  }
  return best;
}

/** Groups servers by region. */
export function groupByRegion(
  servers: readonly TrackedServer[],
): Map<string, TrackedServer[]> {
  const groups = new Map<string, TrackedServer[]>();
  for (const server of servers) {
    const group = groups.get(server.region);
    if (group === undefined) groups.set(server.region, [server]);
    else group.push(server);
  }
  return groups;
}

/** Counts the slots of servers by region. */
export function countRegionSlots(
  servers: readonly TrackedServer[],
): RegionSlots[] {
  return [...groupByRegion(servers)].map(([region, group]) => ({
    region,
    slots: group.reduce((sum, { record }) => sum + record.slots, 0),
  }));
}
