/**
 * State shared by the main and the control listener of a simulated platform.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import type { ListedInstance } from "@dotterelmoor/core.types";
import { LaggingInstanceList, TableStore } from "./store.ts";
import type {
  PlatformCounters,
  PlatformFaults,
  PlatformOptions,
} from "./types.ts";

/** Writable form of `PlatformCounters`. */
export type MutableCounters = {
  -readonly [K in keyof PlatformCounters]: PlatformCounters[K];
};

const NO_FAULTS: PlatformFaults = {
  down: false,
  slowMs: 0,
  loseAnswers: 0,
  listLagMs: 0,
};

/** State of a simulated platform. */
export class PlatformState {
  readonly table: TableStore;
  /** Contents of the object store by object name. */
  readonly objects = new Map<string, Buffer>();
  readonly counters: MutableCounters = {
    transactions: 0,
    committed: 0,
    conflicts: 0,
    rowWrites: 0,
    reads: 0,
    objectReads: 0,
    objectWrites: 0,
    listReads: 0,
    answersLost: 0,
    refusedWhileDown: 0,
  };
  #faults: PlatformFaults;
  #list: LaggingInstanceList;

  constructor(options: PlatformOptions) {
    this.table = new TableStore(options.initialRows);
    this.#list = new LaggingInstanceList(options.instances ?? []);
    this.#faults = { ...NO_FAULTS, ...options.faults };
  }

  get faults(): PlatformFaults {
    return this.#faults;
  }

  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Consumes one injected response loss; false if none is left. */
  takeLostResponse(): boolean {
    if (this.#faults.loseAnswers <= 0) return false;
    this.setFaults({ loseAnswers: this.#faults.loseAnswers - 1 });
    this.counters.answersLost += 1;
    return true;
  }

  /** Sets the actual list; `readInstances` shows it after the lag. */
  setInstances(instances: readonly ListedInstance[]): void {
    this.#list.set(instances, performance.now());
  }

  /** Reads the list that the main listener serves, with its lag. */
  readInstances(): readonly ListedInstance[] {
    return this.#list.read(performance.now(), this.#faults.listLagMs);
  }

  /** Reads the actual list, without lag. */
  readActualInstances(): readonly ListedInstance[] {
    return this.#list.read(performance.now(), 0);
  }
}
