/**
 * Collects what an entry sees, for the one that learns for the region.
 *
 * @module
 */

import type { AssignmentScope, Observations, RunObservation } from "./types.ts";

/** Runs kept between two reports, which are 200 ms apart; further ones would
 * change the averages of the region little. */
const MAX_RUNS = 16;

/** Observations since the last report. */
export class ObservationLog {
  #arrivals = new Map<string, number>();
  #runs: RunObservation[] = [];
  #uses = createUses();

  addUse(scope: AssignmentScope, key: string): void {
    this.#uses[scope].add(key);
  }

  addArrival(service: string): void {
    this.#arrivals.set(service, (this.#arrivals.get(service) ?? 0) + 1);
  }

  addRun(run: RunObservation): void {
    if (this.#runs.length < MAX_RUNS) this.#runs.push(run);
  }

  take(): Observations {
    const uses = { all: [...this.#uses.all], home: [...this.#uses.home] };
    const taken = { uses, arrivals: this.#arrivals, runs: this.#runs };
    this.#arrivals = new Map();
    this.#runs = [];
    this.#uses = createUses();
    return taken;
  }
}

function createUses(): Record<AssignmentScope, Set<string>> {
  return { all: new Set(), home: new Set() };
}
