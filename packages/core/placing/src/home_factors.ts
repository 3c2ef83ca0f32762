/**
 * Factors by which a region may exceed its even share of the objects to serve
 * its own callers.
 *
 * With even shares, servers keep their objects cached and are equally busy, but
 * callers of a small region wait for answers from other regions. While the
 * servers of the small region are mostly idle, cold runs there cost less.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { groupByRegion } from "./region_choice.ts";

/** Requests in flight per slot below which a region's factor grows, and above
 * which it falls. The gap allows for cold runs, which double the load. */
const IDLE_SHARE = 0.3;
const BUSY_SHARE = 0.55;

/** Weight of a new measurement in the moving average, which spans about 3 s. */
const SHARE_WEIGHT = 0.1;

/** Multipliers that raise and lower the factor, four times a second. */
const GROWTH = 1.02;
const DECAY = 0.95;
const MAX_FACTOR = 16;

interface HomeState {
  factor: number;
  busyShare: number;
}

/** Factors by service and region. */
export class HomeFactors {
  readonly #states = new Map<string, HomeState>();

  get(service: string, region: string): number {
    return this.#states.get(`${service} ${region}`)?.factor ?? 1;
  }

  /** Updates the factors of a service; to be called four times a second. */
  update(
    service: string,
    options: {
      readonly servers: readonly TrackedServer[];
      readonly measureBusyShare: (servers: readonly TrackedServer[]) => number;
    },
  ): void {
    for (const [region, group] of groupByRegion(options.servers)) {
      const state = this.#getState(`${service} ${region}`);
      const share = options.measureBusyShare(group);
      state.busyShare += SHARE_WEIGHT * (share - state.busyShare);
      if (state.busyShare < IDLE_SHARE) state.factor *= GROWTH;
      if (state.busyShare > BUSY_SHARE) state.factor *= DECAY;
      state.factor = Math.max(1, Math.min(MAX_FACTOR, state.factor));
    }
  }

  #getState(key: string): HomeState {
    let state = this.#states.get(key);
    if (state === undefined) {
      // Starts as busy, so that shares stay even until there are measurements.
      state = { factor: 1, busyShare: 1 };
      this.#states.set(key, state);
    }
    return state;
  }
}
