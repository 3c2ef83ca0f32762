/**
 * Saves plans and assignments to the store, and restores them after the loss of
 * all entries.
 *
 * After such a loss, servers still hold their objects warm, so the old
 * assignments remain useful. A starting entry gets the current state from the
 * aggregator of its region; an aggregator that has no state itself reads the
 * saved one from the store.
 *
 * @module
 */

import type { Placer } from "@dotterelmoor/core.placing";
import type { DisposableStore } from "@dotterelmoor/core.types";
import { isSavedState } from "@dotterelmoor/network.peering";
import type { SavedState } from "@dotterelmoor/network.peering";
import type { Logger } from "pino";
import type { CatalogStore } from "../ports.ts";
import type { Assignments } from "./assignments.ts";
import { runRepeatedly } from "./intervals.ts";

/** Interval in milliseconds between attempts to restore the state. */
const RESTORE_INTERVAL_MS = 50;

/** Time in milliseconds after which an entry starts without restored state;
 * load reports are answered, and the store is read, within the first second. */
const RESTORE_MS = 1_500;

/** Interval in milliseconds at which changed state is saved. Calls to the store
 * are billed, and few objects move in this time. */
const SAVE_INTERVAL_MS = 5_000;

/** Options of `startStateSaving`. */
export interface StateSavingOptions {
  readonly placer: Placer;
  readonly assignments: Assignments;
  readonly source: CatalogStore;
  readonly store: DisposableStore;
  readonly log: Logger;
  /** True if this entry is the aggregator of its region and has had time to find
   * its peers. */
  readonly isAggregator: () => boolean;
}

/** Saves the state of one entry. */
export interface StateSaving {
  /** True once earlier state has been restored, or cannot be. */
  readonly isRestored: boolean;
  /** Saves the state again if this entry has saved it: the store has come back
   * from an older copy. Returns whether it does. */
  renew(): boolean;
}

/** Starts restoring saved state and then saving it, until the store is disposed
 * of. */
export function startStateSaving(options: StateSavingOptions): StateSaving {
  const saver = new StateSaver(options);
  saver.start();
  return saver;
}

class StateSaver implements StateSaving {
  isRestored = false;
  readonly #options: StateSavingOptions;
  readonly #startedAtMs = performance.now();
  #savedRevision = 0;
  #stopped = false;

  constructor(options: StateSavingOptions) {
    this.#options = options;
  }

  start(): void {
    this.#options.store.add(() => {
      this.#stopped = true;
    });
    const { log } = this.#options;
    const isStopped = () => this.#stopped;
    void runRepeatedly(() => this.#step(), { isStopped, log });
  }

  /** Restores the state, then saves it; returns the pause in milliseconds. */
  async #step(): Promise<number> {
    if (this.isRestored) {
      await this.#save();
      return SAVE_INTERVAL_MS;
    }
    if (!await this.#restore()) return RESTORE_INTERVAL_MS;
    this.isRestored = true;
    return SAVE_INTERVAL_MS;
  }

  /** Tries to restore the state; true once no further attempt is needed. */
  async #restore(): Promise<boolean> {
    const { assignments, isAggregator } = this.#options;
    const ageMs = performance.now() - this.#startedAtMs;
    if (assignments.position.revision > 0 || ageMs > RESTORE_MS) return true;
    return isAggregator() && await this.#readSaved();
  }

  async #readSaved(): Promise<boolean> {
    const { source, log, placer, assignments } = this.#options;
    const read = await source.readSavedState();
    if (read.isErr()) {
      log.warn({ code: read.error.code }, "Failed to read the saved state.");
      return false;
    }
    const saved = read.value;
    if (saved === undefined) return true;
    if (!isSavedState(saved)) {
      log.warn("Ignoring saved state of an unknown shape.");
      return true;
    }
    placer.importPlans(saved.plans);
    assignments.restore(saved.objects);
    const servers = Object.keys(saved.objects).length;
    log.info({ servers }, "Saved state restored.");
    return true;
  }

  renew(): boolean {
    const isSaving = this.#options.assignments.isAssigning &&
      this.#savedRevision > 0;
    // Another entry may have saved the state that this one goes on with.
    this.#savedRevision = 0;
    return isSaving;
  }

  async #save(): Promise<void> {
    const { placer, assignments, source, log } = this.#options;
    const { revision } = assignments.position;
    const plans = placer.exportPlans(performance.now());
    const hasChanges = assignments.isAssigning &&
      revision !== this.#savedRevision;
    if (!hasChanges || plans === undefined) return;
    const state: SavedState = { plans, objects: assignments.listByServer() };
    const written = await source.writeSavedState(state);
    if (written.isOk()) this.#savedRevision = revision;
    else log.warn({ code: written.error.code }, "Failed to save the state.");
  }
}
