/**
 * Simulation of entries and backend servers, for tests of load patterns.
 *
 * Like the platform's servers, a simulated server runs a request in a fraction
 * of its work time if one of its last requests was for the same object.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { EventQueue } from "./event_queue_fixture.ts";
import { Assigner, AssignmentTable, createPlacer } from "./mod.ts";
import type { Placer, PlaceRequest, SendPlacement } from "./mod.ts";

/** Servers, entries and callers of one region. */
export interface WorldRegion {
  readonly name: string;
  readonly servers: number;
  readonly entries: number;
  /** Returns the requests per second of its callers at a time in
   * milliseconds. */
  readonly rate: (nowMs: number) => number;
}

/** Options of `runWorld`. */
export interface WorldOptions {
  readonly seed: number;
  readonly regions: readonly WorldRegion[];
  /** Number of objects that the callers of each region request. */
  readonly objects: number;
  /** Number of last requests whose objects are warm at a server. */
  readonly remembered: number;
  readonly workMs: number;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  readonly durationMs: number;
  /** Returns the work time at a server as a multiple of `workMs`. */
  readonly slowness?: (server: string, nowMs: number) => number;
  /** Slots of a server; 3 by default. */
  readonly slots?: number;
  /** Queue places of a server; 9 by default. */
  readonly queue?: number;
  /** Work time of a warm run, as a share of `workMs`; 0.3 by default. */
  readonly warmShare?: number;
  /** One-way latency in milliseconds to another region; 35 by default. */
  readonly remoteMs?: number;
  /** Interval in milliseconds at which entries share their loads. The default
   * of 100 stands for reports every 50 ms that are held for another 50 ms. */
  readonly sharingMs?: number;
  /** Returns the share of the requests that a server sheds although it has
   * room. */
  readonly sheds?: (server: string, nowMs: number) => number;
}

/** Outcomes of the requests that arrived in one interval. */
export interface WorldInterval {
  requests: number;
  onTime: number;
  late: number;
  refused: number;
  cold: number;
  /** Requests that ran outside their callers' region. */
  remote: number;
}

const WARM_SHARE = 0.3;
const SLOTS = 3;
const QUEUE = 9;
const SHARING_MS = 100;
const CALLER_MS = 8;
const HOME_MS = 0.5;
const REMOTE_MS = 35;
const TICK_MS = 500;
const INTERVAL_MS = 2_000;
const MAX_ATTEMPTS = 2;

interface Job {
  readonly request: PlaceRequest;
  readonly region: string;
  readonly placer: Placer;
  readonly arrivedAtMs: number;
  readonly excluded: Set<string>;
  sentAtMs: number;
  placement: SendPlacement | undefined;
}

interface SimulatedServer {
  readonly tracked: TrackedServer;
  readonly recent: string[];
  readonly queue: Job[];
  running: number;
}

/** Runs the simulation and returns the outcomes in intervals of 2 s. */
export function runWorld(options: WorldOptions): WorldInterval[] {
  return new World(options).run();
}

/** Adds up the counts of intervals. */
export function sumIntervals(
  intervals: readonly WorldInterval[],
): WorldInterval {
  const sum = createInterval();
  for (const interval of intervals) {
    for (const key of Object.keys(sum) as (keyof WorldInterval)[]) {
      sum[key] += interval[key];
    }
  }
  return sum;
}

function createInterval(): WorldInterval {
  return { requests: 0, onTime: 0, late: 0, refused: 0, cold: 0, remote: 0 };
}

class World {
  readonly #options: WorldOptions;
  readonly #random: () => number;
  readonly #servers = new Map<string, SimulatedServer>();
  readonly #tracked: TrackedServer[] = [];
  readonly #placers: { region: string; placer: Placer }[] = [];
  readonly #intervals: WorldInterval[] = [];
  readonly #events = new EventQueue();
  readonly #assigner = new Assigner(new AssignmentTable("assigner"));
  /** Copy of its table that the entries use. */
  readonly #assignments = new AssignmentTable();
  #nowMs = 0;

  constructor(options: WorldOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => uniformFloat64(generator);
    for (const region of options.regions) this.#addRegion(region);
  }

  run(): WorldInterval[] {
    const { regions, durationMs } = this.#options;
    for (const region of regions) this.#scheduleArrival(region);
    this.#schedule(TICK_MS, () => this.#tick());
    this.#shareLoads();
    while (true) {
      const event = this.#events.pop();
      if (event === undefined || event.atMs > durationMs + 10_000) break;
      this.#nowMs = event.atMs;
      event.act();
    }
    return this.#intervals;
  }

  get #slots(): number {
    return this.#options.slots ?? SLOTS;
  }

  get #queue(): number {
    return this.#options.queue ?? QUEUE;
  }

  /** Passes each entry the requests in flight from all others. */
  #shareLoads(): void {
    const own = this.#placers.map(({ placer }) => placer.countInFlight());
    const sums = new Map<string, number>();
    for (const [server, count] of own.flatMap((counts) => [...counts])) {
      sums.set(server, (sums.get(server) ?? 0) + count);
    }
    for (const [index, { placer }] of this.#placers.entries()) {
      const others = new Map(sums);
      for (const [server, count] of own[index]!) {
        others.set(server, sums.get(server)! - count);
      }
      placer.setOtherLoads(others, this.#nowMs);
    }
    this.#shareLearning();
    this.#shareAssignments();
    if (this.#nowMs > this.#options.durationMs) return;
    const { sharingMs = SHARING_MS } = this.#options;
    this.#schedule(sharingMs, () => this.#shareLoads());
  }

  /** Reports the observations of each region's entries to its aggregator, and
   * passes the learned run times back. */
  #shareLearning(): void {
    for (const { name } of this.#options.regions) {
      const [aggregator, ...others] = this.#placers
        .filter(({ region }) => region === name)
        .map(({ placer }) => placer);
      const own = aggregator!.takeObservations();
      this.#assigner.addUses(name, own.uses, this.#nowMs);
      for (const other of others) {
        const observations = other.takeObservations();
        aggregator!.addObservations(observations, this.#nowMs);
        this.#assigner.addUses(name, observations.uses, this.#nowMs);
      }
      const plans = aggregator!.exportPlans(this.#nowMs);
      if (plans === undefined) continue;
      for (const other of others) other.importPlans(plans);
    }
  }

  /** Copies the table before it is updated, so that the copy lags by one
   * exchange. */
  #shareAssignments(): void {
    const { table } = this.#assigner;
    this.#assignments.apply(table.changesSince(this.#assignments.position));
    this.#assigner.update({
      findServers: () => this.#tracked,
      keepsHome: () =>
        this.#placers[0]!.placer.keepsHome(
          "desk",
          "r1",
          this.#options.targetLatencyMs,
        ),
      measureBusyShare: (servers) =>
        this.#placers[0]!.placer.measureBusyShare(servers, this.#nowMs),
      nowMs: this.#nowMs,
    });
  }

  #addRegion(region: WorldRegion): void {
    for (let index = 0; index < region.servers; index++) {
      const id = `${region.name}-${index}`;
      const tracked: TrackedServer = {
        record: {
          id,
          service: "desk",
          address: "",
          zone: region.name,
          slots: this.#slots,
          state: "ready",
          coldMs: 0,
          bornMs: 1,
          sequence: 1,
        },
        region: region.name,
        coldUntilMs: -Infinity,
        missingSinceMs: undefined,
      };
      this.#tracked.push(tracked);
      this.#servers.set(id, { tracked, recent: [], queue: [], running: 0 });
    }
    for (let index = 0; index < region.entries; index++) {
      const placer = createPlacer({
        homeRegion: region.name,
        random: this.#random,
        countEntries: () => region.entries,
        findAssigned: (key) => this.#assignments.find(key),
      });
      this.#placers.push({ region: region.name, placer });
    }
  }

  #tick(): void {
    for (const { placer } of this.#placers) {
      placer.expire(this.#nowMs);
    }
    if (this.#nowMs < this.#options.durationMs) {
      this.#schedule(TICK_MS, () => this.#tick());
    }
  }

  #scheduleArrival(region: WorldRegion): void {
    const gapMs = -Math.log(1 - this.#random()) * 1_000 /
      region.rate(this.#nowMs);
    if (this.#nowMs + gapMs > this.#options.durationMs) return;
    this.#schedule(gapMs, () => {
      this.#arrive(region);
      this.#scheduleArrival(region);
    });
  }

  #arrive(region: WorldRegion): void {
    const { objects, targetLatencyMs, deadlineMs } = this.#options;
    const own = this.#placers.filter((entry) => entry.region === region.name);
    const { placer } = own[Math.floor(this.#random() * own.length)]!;
    const excluded = new Set<string>();
    const job: Job = {
      request: {
        service: "desk",
        route: "r1",
        object: `${region.name}${Math.floor(this.#random() * objects)}`,
        targetLatencyMs,
        remainingMs: deadlineMs,
        ageMs: 0,
        allowedRegions: [],
        excluded,
        coldPerSecond: 10,
      },
      region: region.name,
      placer,
      arrivedAtMs: this.#nowMs,
      excluded,
      sentAtMs: 0,
      placement: undefined,
    };
    this.#getInterval(job).requests += 1;
    placer.recordArrival();
    this.#place(job);
  }

  #place(job: Job): void {
    const ageMs = this.#nowMs - job.arrivedAtMs;
    const remainingMs = this.#options.deadlineMs - ageMs;
    const request = { ...job.request, ageMs, remainingMs };
    const placement = job.placer.place(request, this.#tracked, this.#nowMs);
    if (placement.type === "refuse" || job.excluded.size >= MAX_ATTEMPTS) {
      this.#getInterval(job).refused += 1;
      return;
    }
    const server = this.#servers.get(placement.server.record.id)!;
    job.placer.recordSend(placement, request, this.#nowMs);
    job.placement = placement;
    job.sentAtMs = this.#nowMs;
    job.excluded.add(server.tracked.record.id);
    this.#schedule(
      this.#getDelayMs(job, server),
      () => this.#receive(job, server),
    );
  }

  #receive(job: Job, server: SimulatedServer): void {
    const { sheds } = this.#options;
    const id = server.tracked.record.id;
    const isShed = server.queue.length >= this.#queue ||
      this.#random() < (sheds?.(id, this.#nowMs) ?? 0);
    if (isShed) return this.#answer(job, server, true);
    server.queue.push(job);
    this.#startNext(server);
  }

  #startNext(server: SimulatedServer): void {
    while (server.running < this.#slots && server.queue.length > 0) {
      const job = server.queue.shift()!;
      const waitedMs = this.#nowMs - job.arrivedAtMs;
      if (waitedMs > this.#options.deadlineMs) continue;
      server.running += 1;
      const object = job.request.object!;
      const isWarm = server.recent.includes(object);
      server.recent.push(object);
      if (server.recent.length > this.#options.remembered) {
        server.recent.shift();
      }
      if (!isWarm) this.#getInterval(job).cold += 1;
      if (server.tracked.region !== job.region) {
        this.#getInterval(job).remote += 1;
      }
      const { workMs, slowness, warmShare = WARM_SHARE } = this.#options;
      const id = server.tracked.record.id;
      const runMs = workMs * (isWarm ? warmShare : 1) *
        (0.85 + 0.3 * this.#random()) * (slowness?.(id, this.#nowMs) ?? 1);
      this.#schedule(runMs, () => {
        server.running -= 1;
        this.#answer(job, server, false);
        this.#startNext(server);
      });
    }
  }

  #answer(job: Job, server: SimulatedServer, isShed: boolean): void {
    const load = {
      running: server.running,
      waiting: server.queue.length,
      slots: this.#slots,
    };
    this.#schedule(this.#getDelayMs(job, server), () => {
      job.placer.recordEnd(job.placement!, job.request, {
        outcome: isShed ? "shed" : "answered",
        elapsedMs: this.#nowMs - job.sentAtMs,
        load,
        nowMs: this.#nowMs,
      });
      if (isShed) return this.#place(job);
      const totalMs = this.#nowMs - job.arrivedAtMs + 2 * CALLER_MS;
      const interval = this.#getInterval(job);
      if (totalMs <= this.#options.targetLatencyMs) interval.onTime += 1;
      else if (totalMs <= this.#options.deadlineMs) interval.late += 1;
    });
  }

  #getDelayMs(job: Job, server: SimulatedServer): number {
    const { remoteMs = REMOTE_MS } = this.#options;
    return server.tracked.region === job.region ? HOME_MS : remoteMs;
  }

  #getInterval(job: Job): WorldInterval {
    const index = Math.floor(job.arrivedAtMs / INTERVAL_MS);
    while (this.#intervals.length <= index) {
      this.#intervals.push(createInterval());
    }
    return this.#intervals[index]!;
  }

  #schedule(delayMs: number, act: () => void): void {
    this.#events.push(this.#nowMs + delayMs, act);
  }
}
