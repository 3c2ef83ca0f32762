/**
 * Keeps what entries learnt over the loss of all of them.
 *
 * After such a loss, servers still hold their objects warm. An entry that starts
 * gets all that is known from the first entry of its region; if that one knows
 * nothing either, it reads what was kept in the store.
 *
 * @module
 */

import type { Placer } from "@dotterelmoor/core.placing";
import type { DisposableStore } from "@dotterelmoor/core.types";
import { isKeptState } from "@dotterelmoor/network.peering";
import type { KeptState } from "@dotterelmoor/network.peering";
import type { Logger } from "pino";
import type { CatalogStore } from "../ports.ts";
import type { Assignments } from "./assignments.ts";
import { runRepeatedly } from "./intervals.ts";

/** Interval in milliseconds between looks for what others know. */
const LOOK_MS = 50;

/** Time in milliseconds after which an entry starts without it: reports are
 * answered, and the store is read, within the first second. */
const GIVE_UP_MS = 1_500;

/** Interval in milliseconds at which what changed is kept. Calls are paid for,
 * and few objects move in this time. */
const KEEP_MS = 5_000;

/** Options of `startKeeping`. */
export interface KeepingOptions {
  readonly placer: Placer;
  readonly assignments: Assignments;
  readonly source: CatalogStore;
  readonly store: DisposableStore;
  readonly log: Logger;
  /** True if this entry is the first one of its region. */
  readonly isFirst: () => boolean;
}

/** The running keeping. */
export interface Keeping {
  /** True once all that can be known from before the start is known. */
  readonly isRestored: boolean;
}

/** Starts to restore what was kept, and then to keep it. */
export function startKeeping(options: KeepingOptions): Keeping {
  const keeper = new Keeper(options);
  keeper.start();
  return keeper;
}

class Keeper implements Keeping {
  isRestored = false;
  readonly #options: KeepingOptions;
  readonly #startedAtMs = performance.now();
  #keptRevision = 0;
  #stopped = false;

  constructor(options: KeepingOptions) {
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

  /** Restores, then keeps; returns the pause in milliseconds after it. */
  async #step(): Promise<number> {
    if (this.isRestored) {
      await this.#keep();
      return KEEP_MS;
    }
    if (!await this.#restore()) return LOOK_MS;
    this.isRestored = true;
    return KEEP_MS;
  }

  /** True once nothing more is to be expected. */
  async #restore(): Promise<boolean> {
    const { assignments, isFirst } = this.#options;
    const ageMs = performance.now() - this.#startedAtMs;
    if (assignments.position.revision > 0 || ageMs > GIVE_UP_MS) return true;
    return isFirst() && await this.#readKept();
  }

  async #readKept(): Promise<boolean> {
    const { source, log, placer, assignments } = this.#options;
    const read = await source.readKept();
    if (read.isErr()) {
      log.warn({ code: read.error.code }, "Kept state not read.");
      return false;
    }
    const kept = read.value;
    if (kept === undefined) return true;
    if (!isKeptState(kept)) {
      log.warn("Kept state has a wrong shape.");
      return true;
    }
    placer.importPlans(kept.plans);
    assignments.restore(kept.objects);
    const servers = Object.keys(kept.objects).length;
    log.info({ servers }, "Kept state restored.");
    return true;
  }

  async #keep(): Promise<void> {
    const { placer, assignments, source, log } = this.#options;
    const { revision } = assignments.position;
    const plans = placer.exportPlans(performance.now());
    const isNews = assignments.isAssigning && revision !== this.#keptRevision;
    if (!isNews || plans === undefined) return;
    const state: KeptState = { plans, objects: assignments.listByServer() };
    const written = await source.writeKept(state);
    if (written.isOk()) this.#keptRevision = revision;
    else log.warn({ code: written.error.code }, "State not kept.");
  }
}
