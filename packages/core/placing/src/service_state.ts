/**
 * What an entry knows of one service.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { countRegionSlots } from "./region_choice.ts";
import type { RegionSlots } from "./region_choice.ts";
import { guessRunTimes, WorkModel } from "./work_model.ts";
import type { RunObservation } from "./types.ts";
import type { RunTimes } from "./work_model.ts";

/** Time in milliseconds that a run in another region costs: a round trip for a
 * new connection, one for the request, and 20 ms to and from the caller. */
const REMOTE_COST_MS = 160;

/** Time in milliseconds without a run after which a route's run times are not
 * told to others; configurations name many routes that few requests use. */
const EXPORT_WINDOW_MS = 20_000;

/** What the entries of a region learnt of a service. */
export interface ServicePlan {
  /** Run times of all requests of the service. */
  readonly all: RunTimes;
  /** Run times by kind of request, as `getWorkName` gives it. */
  readonly routes: Readonly<Record<string, RunTimes>>;
}

/** Run times and rooms of a service. */
export class ServiceState {
  readonly #workModels = new Map<string, WorkModel>();
  /** Run times of all requests of the service. */
  #all: WorkModel | undefined;
  #servers: readonly TrackedServer[] | undefined;
  #regionSlots: readonly RegionSlots[] = [];

  /** Takes over what the region's entries learnt. */
  applyPlan({ all, routes }: ServicePlan): void {
    this.#all = new WorkModel(all, "runs");
    for (const [route, times] of Object.entries(routes)) {
      this.#workModels.set(route, new WorkModel(times, "runs"));
    }
  }

  /** Run times of a kind of request. A new kind is taken to be like the others
   * of its service, since its target says little of its work; that is still a
   * guess, and nothing is refused by it at a free server. */
  getWork(name: string, targetLatencyMs: number): WorkModel {
    let work = this.#workModels.get(name);
    if (work === undefined) {
      const guess = guessRunTimes(targetLatencyMs);
      this.#all ??= new WorkModel(guess, "target");
      work = this.#all.isLearned
        ? new WorkModel(this.#all, "service")
        : new WorkModel(guess, "target");
      this.#workModels.set(name, work);
    }
    return work;
  }

  /** Average run time of the requests that were served. */
  get meanRunMs(): number {
    return this.#all?.meanMs ?? 0;
  }

  /** True if a route's answers from other regions come too late. */
  keepsHome(route: string, targetLatencyMs: number): boolean {
    const { warmMs } = this.getWork(route, targetLatencyMs);
    return warmMs + REMOTE_COST_MS >= targetLatencyMs;
  }

  /** Slots of the regions. */
  getRegionSlots(servers: readonly TrackedServer[]): readonly RegionSlots[] {
    if (servers !== this.#servers) {
      this.#servers = servers;
      this.#regionSlots = countRegionSlots(servers);
    }
    return this.#regionSlots;
  }

  /** What was learnt; undefined if that is too little. */
  describePlan(nowMs: number): ServicePlan | undefined {
    if (this.#all?.isLearned !== true) return undefined;
    const routes: Record<string, RunTimes> = {};
    for (const [route, work] of this.#workModels) {
      const isExported = work.isLearned &&
        nowMs - work.observedAtMs < EXPORT_WINDOW_MS;
      if (isExported) routes[route] = work.times;
    }
    return { all: this.#all.times, routes };
  }

  /** Adds a run; one of a kind that is not known here tells nothing. */
  recordRun({ work: name, runMs }: RunObservation, nowMs: number): void {
    const work = this.#workModels.get(name);
    if (work === undefined || this.#all === undefined) return;
    work.recordRun(runMs, nowMs);
    this.#all.recordRun(runMs, nowMs);
  }
}
