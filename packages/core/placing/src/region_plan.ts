/**
 * The region that runs each object of one service.
 *
 * Pattern: after a start, every object is cold everywhere, and a cold run takes
 * several times as long as a warm one. So each object first has one region,
 * the same for callers of all regions, by the regions' slots. Where there is
 * room, its callers' own region takes it over, slowly, so that the share of
 * requests that changes region stays under its bound. When the demand at home
 * outgrows the slots, objects go back to the regions that they share.
 *
 * An answer from another region may be in time or not. If it is, objects stay
 * shared until the home region could run all of its requests cold, and go home
 * slowly: each one that moves is cold at first, and a server remembers few. If
 * it is not, the home region keeps what its slots carry warm.
 *
 * @module
 */

import { computeDistance, computePosition } from "./hashing.ts";

/** Utilization up to which a region keeps its own requests; above it, queues
 * at 3 slots grow beyond the time that another region costs. */
const HOME_UTILIZATION = 0.75;

/** Share of the largest step by which such objects go home: all within about
 * two minutes. */
const SLOW_STEP = 0.2;

/** Slots of one region. */
export interface RegionRoom {
  readonly region: string;
  readonly slots: number;
}

/** Options of one update of a plan. */
export interface PlanUpdate {
  /** Slots that the home region's requests would keep busy. */
  readonly demandSlots: number;
  /** The same as if all of its runs were cold. */
  readonly coldDemandSlots: number;
  /** True if an answer from another region is in time. */
  readonly isFarInTime: boolean;
  readonly rooms: readonly RegionRoom[];
  /** Largest share of the requests that may change region in this update. */
  readonly maxStep: number;
}

/** The plan of one service. */
export class RegionPlan {
  readonly #home: string;
  #rooms: readonly RegionRoom[] = [];
  #homeShare: number;

  /** The share of the objects that the home region took over, 0 to 1. */
  constructor(home: string, homeShare: number) {
    this.#home = home;
    this.#homeShare = homeShare;
  }

  get homeShare(): number {
    return this.#homeShare;
  }

  /** Takes over a share that the region's entries agreed on, or starts at. */
  setHomeShare(homeShare: number): void {
    this.#homeShare = Math.max(0, Math.min(1, homeShare));
  }

  /** Tells whether the home region took an object over. */
  isHome(object: string, allowedRegions: readonly string[]): boolean {
    const hasHome = this.#findAllowed(allowedRegions).some(
      ({ region, slots }) => region === this.#home && slots > 0,
    );
    return hasHome && computePosition(`\0${object}`) < this.#homeShare;
  }

  /** Region of an object that is shared by all regions and not assigned to a
   * server; undefined if no allowed region has servers. */
  chooseShared(
    object: string,
    allowedRegions: readonly string[],
  ): string | undefined {
    return chooseShared(this.#findAllowed(allowedRegions), object);
  }

  #findAllowed(allowedRegions: readonly string[]): readonly RegionRoom[] {
    if (allowedRegions.length === 0) return this.#rooms;
    return this.#rooms.filter(({ region }) => allowedRegions.includes(region));
  }

  /** Takes over the slots of the regions, and moves towards the demand. */
  update(update: PlanUpdate): void {
    const { rooms, maxStep, isFarInTime } = update;
    this.#rooms = rooms;
    const home = rooms.find(({ region }) => region === this.#home);
    const total = rooms.reduce((sum, { slots }) => sum + slots, 0);
    const homeSlots = home?.slots ?? 0;
    if (total === 0 || homeSlots === total) return;
    const kept = computeKeptShare(update, homeSlots);
    // The home region also has its part of the objects that are shared.
    const shared = homeSlots / total;
    const target = Math.max(0, (kept - shared) / (1 - shared));
    const step = maxStep / (1 - shared);
    const up = isFarInTime ? SLOW_STEP * step : step;
    const change = Math.max(-step, Math.min(up, target - this.#homeShare));
    this.#homeShare += change;
  }
}

/** Share of its callers' requests that the home region is to run. */
function computeKeptShare(
  { demandSlots, coldDemandSlots, isFarInTime }: PlanUpdate,
  homeSlots: number,
): number {
  const demand = isFarInTime ? coldDemandSlots : demandSlots;
  if (demand <= 0) return 1;
  return Math.min(1, HOME_UTILIZATION * homeSlots / demand);
}

/** Weighted rendezvous hashing: a change of one region's slots moves only the
 * objects that it gains or loses. */
function chooseShared(
  rooms: readonly RegionRoom[],
  object: string,
): string | undefined {
  let best: string | undefined;
  let bestScore = -Infinity;
  for (const { region, slots } of rooms) {
    if (slots <= 0) continue;
    const score = slots / computeDistance(`${region} ${object}`);
    if (score <= bestScore) continue;
    best = region;
    bestScore = score;
  }
  return best;
}
