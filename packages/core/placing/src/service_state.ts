/**
 * Learned run times and region slots of one service.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { countRegionSlots } from "./region_choice.ts";
import type { RegionSlots } from "./region_choice.ts";
import { guessRunTimes, WorkModel } from "./work_model.ts";
import type { RunObservation } from "./types.ts";
import type { RunTimes } from "./work_model.ts";

/** Latency in milliseconds that a run in another region adds: a round trip for
 * a new connection, one for the request, and 20 ms to and from the caller. */
const REMOTE_COST_MS = 160;

/** Time in milliseconds without a run after which a route's run times are no
 * longer exported; configurations have many routes that are hardly used. */
const EXPORT_WINDOW_MS = 20_000;

/** Run times of a service that the entries of a region learned. */
export interface ServicePlan {
  /** Run times of all requests of the service. */
  readonly all: RunTimes;
  /** Run times by kind of request, as returned by `getWorkName`. */
  readonly routes: Readonly<Record<string, RunTimes>>;
}

/** Run times and region slots of a service. */
export class ServiceState {
  readonly #workModels = new Map<string, WorkModel>();
  /** Run times of all requests of the service. */
  #all: WorkModel | undefined;
  #servers: readonly TrackedServer[] | undefined;
  #regionSlots: readonly RegionSlots[] = [];

  /** Replaces the run times by those that another entry exported. */
  applyPlan({ all, routes }: ServicePlan): void {
    this.#all = new WorkModel(all, "runs");
    for (const [route, times] of Object.entries(routes)) {
      this.#workModels.set(route, new WorkModel(times, "runs"));
    }
  }

  /** Returns the run times of a kind of request. A new kind starts with those
   * of the whole service, since the target latency says little about the work.
   * They are a guess that never refuses a request at a server with a free
   * slot. */
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

  /** Mean run time in milliseconds of the service's requests. */
  get meanRunMs(): number {
    return this.#all?.meanMs ?? 0;
  }

  /** True if answers from other regions would miss the route's target
   * latency. */
  keepsHome(route: string, targetLatencyMs: number): boolean {
    const { warmMs } = this.getWork(route, targetLatencyMs);
    return warmMs + REMOTE_COST_MS >= targetLatencyMs;
  }

  /** Counts the slots of each region; cached per list of servers. */
  getRegionSlots(servers: readonly TrackedServer[]): readonly RegionSlots[] {
    if (servers !== this.#servers) {
      this.#servers = servers;
      this.#regionSlots = countRegionSlots(servers);
    }
    return this.#regionSlots;
  }

  /** Returns the learned run times; undefined if there are too few samples. */
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

  /** Adds a run; ignored for kinds that `getWork` was never called for. */
  recordRun({ work: name, runMs }: RunObservation, nowMs: number): void {
    const work = this.#workModels.get(name);
    if (work === undefined || this.#all === undefined) return;
    work.recordRun(runMs, nowMs);
    this.#all.recordRun(runMs, nowMs);
  }
}
