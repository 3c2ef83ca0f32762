/**
 * Runs a policy in a scenario and measures it.
 *
 * @module
 */

import { DETECTION_MS } from "./owner_policy.ts";
import { World } from "./world.ts";
import type {
  CallerResult,
  ModelEntry,
  ModelRequest,
  Policy,
} from "./world.ts";

/** Scenario: no event, a killed entry, or servers that start cold. */
export type ScenarioName = "steady" | "entry killed" | "cold ramp";

/** Options of `runScenario`; times are virtual. */
export interface RunOptions {
  readonly scenario: ScenarioName;
  readonly seed: number;
  /** Share of the warm slots that the requests need. */
  readonly load: number;
  /** Time in which requests are measured. */
  readonly durationMs: number;
  /** One-way delay between a caller and its entry. */
  readonly clientMs: number;
  readonly makePolicy: (world: World) => Policy;
}

/** Results of a run. */
export interface RunFigures {
  /** Measured requests that were answered. */
  readonly answered: number;
  /** Share of the measured requests that were refused and did not run. */
  readonly refusedShare: number;
  /** Share of the measured requests whose outcome their caller doesn't know. */
  readonly failedShare: number;
  /** Latency of the answered requests at their callers; NaN without any. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Share of the requests that started at a server without a free slot. */
  readonly overShare: number;
  /** Largest ratio of a server's peak of requests in flight to its slots. */
  readonly peakOverSlots: number;
  /** Longest time from the report that a server leaves until it was idle;
   * Infinity if it never was. */
  readonly drainMs: number;
}

const DEADLINE_MS = 2_000;
const WARMUP_MS = 1_000;

/** Time after the measured one, in which one server of each group leaves. */
const DRAIN_PHASE_MS = 6_000;
const COLD_FACTOR = 4;

/** Runs a policy; the same seed gives the same requests for each policy. */
export function runScenario(options: RunOptions): RunFigures {
  return new Run(options).run();
}

class Run {
  readonly #options: RunOptions;
  readonly #world: World;
  readonly #policy: Policy;
  readonly #latencies: number[] = [];
  readonly #counts = { answered: 0, refused: 0, failed: 0 };
  readonly #openRequests = new Map<
    ModelRequest,
    (result: CallerResult) => void
  >();
  #killedAtMs = Infinity;

  constructor(options: RunOptions) {
    const { seed, load, scenario, durationMs } = options;
    this.#options = options;
    this.#world = new World({
      seed,
      load,
      durationMs: durationMs + DRAIN_PHASE_MS,
      leavingAtMs: durationMs,
      coldFactor: scenario === "cold ramp" ? COLD_FACTOR : 1,
      deadlineMs: DEADLINE_MS,
    });
    this.#policy = options.makePolicy(this.#world);
  }

  run(): RunFigures {
    const { clock, groups, entries } = this.#world;
    const { scenario, durationMs } = this.#options;
    this.#scheduleArrivals(this.#world.makeRequests(), 0);
    if (scenario === "entry killed") {
      clock.runAt(durationMs / 4, () => this.#kill(entries[0]!));
    }
    for (const { servers } of groups) servers[0]!.leavingAtMs = durationMs;
    clock.runUntil(durationMs + DRAIN_PHASE_MS + DEADLINE_MS);
    return this.#measure();
  }

  #scheduleArrivals(requests: readonly ModelRequest[], index: number): void {
    const request = requests[index];
    if (request === undefined) return;
    this.#world.clock.runAt(request.atMs, () => {
      this.#submit(request);
      this.#scheduleArrivals(requests, index + 1);
    });
  }

  #submit(request: ModelRequest): void {
    const entry = this.#findEntry(request);
    if (entry === undefined) return this.#record(request, "failed");
    const routed = { ...request, entry };
    const end = (result: CallerResult) => {
      if (this.#openRequests.delete(routed)) this.#record(request, result);
    };
    this.#openRequests.set(routed, end);
    this.#policy.submit(routed, end);
  }

  /** Callers use a killed entry until lookups no longer name it. */
  #findEntry({ entry }: ModelRequest): ModelEntry | undefined {
    if (entry.alive) return entry;
    const { clock } = this.#world;
    if (clock.nowMs < this.#killedAtMs + DETECTION_MS) return undefined;
    return this.#world.listEntries(entry.region).find(({ alive }) => alive);
  }

  #kill(entry: ModelEntry): void {
    entry.alive = false;
    this.#killedAtMs = this.#world.clock.nowMs;
    for (const [request, end] of this.#openRequests) {
      if (request.entry === entry) end("failed");
    }
    this.#policy.kill?.(entry);
  }

  #record(request: ModelRequest, result: CallerResult): void {
    const { scenario, clientMs, durationMs } = this.#options;
    const startMs = scenario === "cold ramp" ? 0 : WARMUP_MS;
    if (request.atMs < startMs || request.atMs > durationMs) return;
    this.#counts[result] += 1;
    if (result !== "answered") return;
    const elapsedMs = this.#world.clock.nowMs - request.atMs;
    this.#latencies.push(elapsedMs + 2 * clientMs);
  }

  #measure(): RunFigures {
    const { answered, refused, failed } = this.#counts;
    const total = answered + refused + failed;
    const servers = this.#world.groups.flatMap((group) => group.servers);
    const sum = (counts: number[]) => counts.reduce((a, b) => a + b, 0);
    const sorted = this.#latencies.sort((a, b) => a - b);
    const drains = servers.filter(({ leavingAtMs }) => leavingAtMs < Infinity)
      .map((server) =>
        server.activeCount > 0 ? Infinity : server.idleAtMs - server.leavingAtMs
      );
    return {
      answered,
      refusedShare: refused / total,
      failedShare: failed / total,
      p50Ms: sorted[Math.floor(sorted.length * 0.5)] ?? NaN,
      p99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? NaN,
      overShare: sum(servers.map((server) => server.startedOverSlots)) /
        sum(servers.map((server) => server.started)),
      peakOverSlots: Math.max(
        ...servers.map((server) => server.peakInFlight / server.options.slots),
      ),
      drainMs: Math.max(0, ...drains),
    };
  }
}
