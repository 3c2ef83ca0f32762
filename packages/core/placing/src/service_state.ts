/**
 * Demand, run times and plan of one service at one entry.
 *
 * @module
 */

import { RankWarmth } from "./rank_warmth.ts";
import { RegionPlan } from "./region_plan.ts";
import type { RegionRoom } from "./region_plan.ts";
import { guessRunTimes, WorkModel } from "./work_model.ts";
import type { RunObservation } from "./types.ts";
import type { RunTimes } from "./work_model.ts";

/** Weight of the last interval in the rate of arrivals; about 2 s count. */
const RATE_WEIGHT = 0.3;

/** Share of the requests that may change region in one second; the bound is
 * 0.15 in 2 s, and every entry moves on its own. */
const STEP_PER_SECOND = 0.045;

/** Time in milliseconds that a run in another region costs: a round trip for a
 * new connection, one for the request, and 20 ms to and from the caller. */
const FAR_MS = 160;

/** Part of the target latency within which far answers are early enough that
 * objects stay shared: the rest is for waiting at servers and entries. Between
 * the two, nothing changes, since each change moves many objects. */
const FAR_SHARE = 0.8;
const NOT_FAR_SHARE = 0.88;

/** Updates before shares move: the rate of arrivals is not known earlier. */
const SETTLING_UPDATES = 4;

/** Time in milliseconds without a run after which a route's run times are not
 * told to others; configurations name many routes that few requests use. */
const TOLD_MS = 20_000;

/** What the entries of a region learnt of a service. */
export interface ServicePlan {
  /** Share of the objects that the region took over, 0 to 1. */
  readonly homeShare: number;
  /** Run times of all requests of the service. */
  readonly all: RunTimes;
  /** Run times by route. */
  readonly routes: Readonly<Record<string, RunTimes>>;
  /** Warm shares by place in the order, for the servers of each region. */
  readonly warmth: Readonly<Record<string, readonly number[]>>;
}

/** Input of one update. */
export interface ServiceUpdate {
  readonly rooms: readonly RegionRoom[];
  /** Live entries of the home region. */
  readonly entries: number;
  readonly nowMs: number;
}

/** What one entry knows of a service. */
export class ServiceState {
  readonly plan: RegionPlan;
  demandSlots = 0;
  readonly #warmth = new Map<string, RankWarmth>();
  readonly #work = new Map<string, WorkModel>();
  #arrivals = 0;
  /** Arrivals at other entries of the region, as far as they reported them. */
  #reported = 0;
  #perSecond = 0;
  #updatedAtMs: number | undefined;

  /** Run times of all requests of the service. */
  #all: WorkModel | undefined;
  /** Shortest target latency in milliseconds of its routes. */
  #targetMs = Infinity;
  #isFarInTime = true;
  /** True until the first update, if nothing was learnt before. */
  #isStarting: boolean;
  #updates = 0;

  constructor(
    homeRegion: string,
    /** What another entry learnt. */
    learnt: ServicePlan | undefined,
  ) {
    this.plan = new RegionPlan(homeRegion, 0);
    this.#isStarting = learnt === undefined;
    if (learnt !== undefined) this.adopt(learnt);
  }

  /** Takes over what the region's entries learnt. */
  adopt({ homeShare, all, routes, warmth }: ServicePlan): void {
    this.#isStarting = false;
    this.plan.setHomeShare(homeShare);
    this.#all = new WorkModel(all, true);
    for (const [route, times] of Object.entries(routes)) {
      this.#work.set(route, new WorkModel(times, true));
    }
    for (const [region, shares] of Object.entries(warmth)) {
      this.#warmth.set(region, new RankWarmth(shares));
    }
  }

  /** Run times of a route. A new route is taken to be like the others of its
   * service, since its target says little of its work. */
  getWork(route: string, targetLatencyMs: number): WorkModel {
    this.#targetMs = Math.min(this.#targetMs, targetLatencyMs);
    let work = this.#work.get(route);
    if (work === undefined) {
      const guess = guessRunTimes(targetLatencyMs);
      this.#all ??= new WorkModel(guess, false);
      work = this.#all.isLearned
        ? new WorkModel(this.#all, true)
        : new WorkModel(guess, false);
      this.#work.set(route, work);
    }
    return work;
  }

  /** How warm the servers of a region are, by their place in the order. */
  getWarmth(region: string): RankWarmth {
    let warmth = this.#warmth.get(region);
    if (warmth === undefined) {
      warmth = new RankWarmth();
      this.#warmth.set(region, warmth);
    }
    return warmth;
  }

  /** Average run time of the requests that were served. */
  get meanRunMs(): number {
    return this.#all?.meanMs ?? 0;
  }

  /** What was learnt; undefined if that is too little. */
  describeLearnt(nowMs: number): ServicePlan | undefined {
    if (this.#all?.isLearned !== true) return undefined;
    const routes: Record<string, RunTimes> = {};
    for (const [route, work] of this.#work) {
      const isTold = work.isLearned && nowMs - work.observedAtMs < TOLD_MS;
      if (isTold) routes[route] = work.times;
    }
    const warmth = Object.fromEntries(
      [...this.#warmth].map(([region, { shares }]) => [region, shares]),
    );
    const { homeShare } = this.plan;
    return { homeShare, all: this.#all.times, routes, warmth };
  }

  /** Adds a run; of a route that is not known here, only another entry's. */
  recordRun({ route, region, rank, runMs }: RunObservation, nowMs: number) {
    const work = this.#work.get(route);
    if (work === undefined || this.#all === undefined) return;
    if (rank !== undefined) {
      this.getWarmth(region).observe(rank, work.isWarm(runMs));
    }
    work.observe(runMs, nowMs);
    this.#all.observe(runMs, nowMs);
  }

  /** False until the plan knows the regions' slots. */
  get isPlanned(): boolean {
    return this.#updatedAtMs !== undefined;
  }

  recordArrival(): void {
    this.#arrivals += 1;
  }

  /** Adds arrivals at another entry of the region. */
  addArrivals(count: number): void {
    this.#reported += count;
  }

  update({ rooms, entries, nowMs }: ServiceUpdate): void {
    const elapsedS = (nowMs - (this.#updatedAtMs ?? nowMs)) / 1_000;
    this.#updatedAtMs = nowMs;
    const farMs = (this.#all?.warmMs ?? 0) + FAR_MS;
    // Shared at first, as every server is cold, unless that would be too late.
    if (this.#isStarting && farMs >= this.#targetMs) this.plan.setHomeShare(1);
    this.#isStarting = false;
    const share = this.#isFarInTime ? NOT_FAR_SHARE : FAR_SHARE;
    this.#isFarInTime = farMs < share * this.#targetMs;
    // Without reports, callers are taken to spread evenly over the entries.
    const arrivals = this.#reported > 0
      ? this.#arrivals + this.#reported
      : this.#arrivals * entries;
    this.#arrivals = 0;
    this.#reported = 0;
    const rate = elapsedS > 0 ? arrivals / elapsedS : 0;
    this.#perSecond += RATE_WEIGHT * (rate - this.#perSecond);
    const perMs = this.#perSecond / 1_000;
    this.demandSlots = perMs * this.meanRunMs;
    this.plan.update({
      demandSlots: this.demandSlots,
      coldDemandSlots: perMs * (this.#all?.coldMs ?? 0),
      isFarInTime: this.#isFarInTime,
      rooms,
      maxStep: this.#updates < SETTLING_UPDATES
        ? 0
        : STEP_PER_SECOND * Math.min(elapsedS, 1),
    });
    this.#updates += 1;
  }
}
