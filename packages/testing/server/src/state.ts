/**
 * Counters and faults of a simulated backend server.
 *
 * @module
 */

import { appendFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import type { HealthState, ServerFaults, ServerOptions } from "./types.ts";

const NO_FAULTS: ServerFaults = {
  draining: false,
  refuseWhenDraining: true,
  shed: false,
  hang: false,
  cutBody: false,
  lateMs: 0,
  healthDelayMs: 0,
  healthState: null,
  healthFails: false,
};

/** Maximum number of values in `startedAfterDrainingMs`. */
const MAX_RECORDED_STARTS = 10_000;

/** State of a simulated backend server with its counters (`ServerCounters`). */
export class ServerState {
  readonly name: string;
  readonly slots: number;
  runs = 0;
  completed = 0;
  inFlight = 0;
  maxInFlight = 0;
  overSlots = 0;
  refused = 0;
  stoppedAtDeadline = 0;
  cancelled = 0;
  readonly runsByKey = new Map<string, number>();
  readonly startedAfterDrainingMs: number[] = [];
  #faults: ServerFaults;
  #drainingSinceMs: number | undefined;
  readonly #coldUntilMs: number;
  readonly #runLog: string | undefined;

  constructor(options: ServerOptions) {
    this.name = options.name ?? "server";
    this.slots = options.slots ?? 3;
    this.#coldUntilMs = performance.now() + (options.coldMs ?? 0);
    this.#runLog = options.runLog;
    this.#faults = NO_FAULTS;
    this.setFaults(options.faults ?? {});
  }

  get faults(): ServerFaults {
    return this.#faults;
  }

  /** True until `coldMs` have passed since the start. */
  get isCold(): boolean {
    return performance.now() < this.#coldUntilMs;
  }

  /** State that the health endpoint reports. */
  get healthState(): HealthState {
    if (this.#faults.healthState !== null) return this.#faults.healthState;
    if (this.#faults.draining) return "draining";
    return this.isCold ? "cold" : "ok";
  }

  /** Changes the given faults; the others keep their value. */
  setFaults(faults: Partial<ServerFaults>): void {
    const wasDraining = this.#faults.draining;
    this.#faults = { ...this.#faults, ...faults };
    if (this.#faults.draining && !wasDraining) {
      this.#drainingSinceMs = performance.now();
    }
    if (!this.#faults.draining) this.#drainingSinceMs = undefined;
  }

  /** Records that the work of a request starts. */
  recordStart(key: string | undefined): void {
    this.runs += 1;
    if (this.inFlight >= this.slots) this.overSlots += 1;
    this.inFlight += 1;
    this.maxInFlight = Math.max(this.maxInFlight, this.inFlight);
    if (key !== undefined) {
      this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
    }
    if (
      this.#drainingSinceMs !== undefined &&
      this.startedAfterDrainingMs.length < MAX_RECORDED_STARTS
    ) {
      const elapsedMs = performance.now() - this.#drainingSinceMs;
      this.startedAfterDrainingMs.push(Math.round(elapsedMs));
    }
    if (this.#runLog !== undefined) {
      const line = JSON.stringify({
        server: this.name,
        key: key ?? null,
        // Wall-clock time, comparable between the processes of a machine.
        atMs: performance.timeOrigin + performance.now(),
      });
      // Synchronous, so that the line survives a crash of the process.
      appendFileSync(this.#runLog, `${line}\n`);
    }
  }

  /** Records that the work of a request has ended, whatever the result. */
  recordEnd(): void {
    this.inFlight -= 1;
  }
}
