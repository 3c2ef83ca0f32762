/**
 * Collects what an entry sees, for the one that learns for the region.
 *
 * @module
 */

import type { Observations, RunObservation } from "./types.ts";

/** Runs kept between two reports; further ones would change the averages of
 * the region little. */
const MAX_RUNS = 16;

/** Observations since the last report. */
export class ObservationBuffer {
  #uses = new Set<string>();
  #runs: RunObservation[] = [];

  addUse(key: string): void {
    this.#uses.add(key);
  }

  addRun(run: RunObservation): void {
    if (this.#runs.length < MAX_RUNS) this.#runs.push(run);
  }

  take(): Observations {
    const taken = { uses: [...this.#uses], runs: this.#runs };
    this.#uses = new Set();
    this.#runs = [];
    return taken;
  }
}
