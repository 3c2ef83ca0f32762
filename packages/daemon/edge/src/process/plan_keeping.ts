/**
 * Keeps what entries learnt of services over starts: a starting entry asks
 * another one of its region. If all ended together, the one that reads the
 * store reads what the region kept there, and the others ask it.
 *
 * @module
 */

import type { Placer, PlacingPlans } from "@dotterelmoor/core.placing";
import type { DisposableStore } from "@dotterelmoor/core.types";
import { isPlans } from "@dotterelmoor/network.peering";
import type { Logger } from "pino";
import type { CatalogStore } from "../ports.ts";
import type { Peers } from "./peers.ts";

/** Interval in milliseconds between attempts to take plans over. */
const ATTEMPT_MS = 200;

/** Time in milliseconds after which an entry starts without plans. Peers are
 * found within the first second. */
const GIVE_UP_MS = 1_500;

/** Time in milliseconds for which only peers are asked: what they learnt is
 * newer than what is kept. */
const PEERS_FIRST_MS = 500;

/** Interval in milliseconds at which plans are kept. Calls are paid for, and
 * shares move by a few hundredths in this time. */
const KEEP_MS = 5_000;

/** Options of `startPlanKeeping`. */
export interface PlanKeepingOptions {
  readonly region: string;
  readonly peers: Peers;
  readonly placer: Placer;
  readonly source: CatalogStore;
  readonly store: DisposableStore;
  readonly log: Logger;
  /** True while this entry keeps the plans of its region in the store. */
  readonly isKeeper: () => boolean;
}

/** Starts both; the result tells whether taking over has ended. */
export function startPlanKeeping(options: PlanKeepingOptions): () => boolean {
  const keeping = new PlanKeeping(options);
  keeping.start();
  return () => keeping.isTakenOver;
}

class PlanKeeping {
  isTakenOver = false;
  readonly #options: PlanKeepingOptions;
  readonly #startedAtMs = performance.now();
  #hasRead = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PlanKeepingOptions) {
    this.#options = options;
  }

  start(): void {
    const { store } = this.#options;
    void this.#attempt();
    const keeping = setInterval(() => void this.#keep(), KEEP_MS);
    store.add(() => {
      clearInterval(keeping);
      clearTimeout(this.#timer);
    });
  }

  async #attempt(): Promise<void> {
    const { peers, placer, log } = this.#options;
    const fromPeer = await peers.pullPlans();
    const plans = fromPeer ?? await this.#readKept();
    if (plans !== undefined) {
      placer.importPlans(plans);
      log.info(
        { plans, source: fromPeer === undefined ? "store" : "peer" },
        "Plans taken over.",
      );
    }
    const ageMs = performance.now() - this.#startedAtMs;
    this.isTakenOver = plans !== undefined || ageMs > GIVE_UP_MS;
    if (this.isTakenOver) return;
    this.#timer = setTimeout(() => void this.#attempt(), ATTEMPT_MS);
  }

  async #readKept(): Promise<PlacingPlans | undefined> {
    const { source, region, log, isKeeper } = this.#options;
    const ageMs = performance.now() - this.#startedAtMs;
    if (this.#hasRead || !isKeeper() || ageMs < PEERS_FIRST_MS) {
      return undefined;
    }
    const read = await source.readPlans(region);
    if (read.isErr()) {
      log.warn({ code: read.error.code }, "Kept plans not read.");
      return undefined;
    }
    this.#hasRead = true;
    if (read.value === undefined || isPlans(read.value)) return read.value;
    log.warn("Kept plans have a wrong shape.");
    return undefined;
  }

  async #keep(): Promise<void> {
    const { isKeeper, placer, source, region, log } = this.#options;
    const plans = isKeeper()
      ? placer.exportPlans(performance.now())
      : undefined;
    if (plans === undefined) return;
    const written = await source.writePlans(region, plans);
    if (written.isErr()) {
      log.warn({ code: written.error.code }, "Plans not kept.");
    }
  }
}
