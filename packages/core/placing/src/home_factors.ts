/**
 * How much more than an even share of the objects a region may hold for its own
 * callers.
 *
 * Pattern: with even shares, servers remember their objects and none is busier
 * than others, but a small region's callers wait for far answers. While its
 * servers are mostly idle, cold runs there cost less than that.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { groupByRegion } from "./region_choice.ts";

/** Requests in flight for each slot below which a region takes more objects
 * home, and above which it gives them back; cold runs double the load. */
const IDLE_SHARE = 0.3;
const BUSY_SHARE = 0.55;

/** Weight of a measurement; about 3 s count. */
const SHARE_WEIGHT = 0.1;

/** Multiples by which the factor grows and falls four times a second. */
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

  /** Due four times a second. */
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
      // Busy until measured: objects stay even after a start.
      state = { factor: 1, busyShare: 1 };
      this.#states.set(key, state);
    }
    return state;
  }
}
