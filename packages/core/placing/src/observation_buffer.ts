/**
 * Buffers the observations of an entry until it reports them to the region's
 * aggregator.
 *
 * @module
 */

import type { Observations, RunObservation } from "./types.ts";

/** Runs kept between two reports; more would hardly change the averages of the
 * region. */
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

  /** Returns the observations and clears the buffer. */
  take(): Observations {
    const taken = { uses: [...this.#uses], runs: this.#runs };
    this.#uses = new Set();
    this.#runs = [];
    return taken;
  }
}
