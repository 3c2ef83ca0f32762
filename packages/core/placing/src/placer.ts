/**
 * Places requests on backend servers.
 *
 * Servers answer several times faster for objects that they handled recently,
 * and have few slots. Each object has a preference order of servers in each
 * region, the same at every entry. A request goes to the server with the lowest
 * expected cost, given the requests that all entries have in flight there and
 * whether the server is expected to have the object warm.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import type { Random } from "@dotterelmoor/core.types";
import { computeCandidate, getRttMs, isCold } from "./candidates.ts";
import type { Candidate } from "./candidates.ts";
import { getObjectKey, getWorkName } from "./object_key.ts";
import { ObservationBuffer } from "./observation_buffer.ts";
import { chooseRegion } from "./region_choice.ts";
import { ServerLoads } from "./server_loads.ts";
import { ServerOrder } from "./server_order.ts";
import type { RegionOrders } from "./server_order.ts";
import { ServiceStates } from "./service_states.ts";
import type { PlacingPlans, ServiceDescription } from "./service_states.ts";
import type {
  Observations,
  Placement,
  PlaceRequest,
  RefusalInputs,
  RefusalReason,
  RunObservation,
  SendEnd,
  SendPlacement,
} from "./types.ts";

/** Multiple of the target latency above which a request is refused while the
 * servers are saturated: the queue would keep growing and delay every later
 * request too. */
const MAX_LATENCY_RATIO = 1.1;

/** Share of the requests that may leave their planned region because they would
 * be late there; the limit on all region changes is 0.15. */
const MOVE_SHARE = 0.05;
const MAX_MOVE_BUDGET = 4;

/** Maximum number of usable servers of a region that are considered for an
 * object. Servers further down the order are cold for it, and a cold run would
 * take slots from requests that are warm there. */
const MAX_CANDIDATES = 8;

/** Bounds in milliseconds of the retry delay sent with a refusal. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 2_000;

/** Retry delay in milliseconds when no server is usable; paused servers may be
 * usable again by then. */
const NO_SERVER_RETRY_MS = 300;

/** Options of `createPlacer`. */
export interface PlacerOptions {
  readonly homeRegion: string;
  readonly random: Random;
  /** Live entries of the home region, this one included. */
  readonly countEntries: () => number;
  /** Returns the id of the server that an object is assigned to. */
  readonly findAssigned: (key: string) => string | undefined;
}

/** Places the requests of one entry. */
export interface Placer {
  /** Chooses one of the servers of the request's service. */
  place(
    request: PlaceRequest,
    servers: readonly TrackedServer[],
    nowMs: number,
  ): Placement;
  /** Records that a request arrived; to be called once before `place`. */
  recordArrival(): void;
  recordSend(
    placement: SendPlacement,
    request: PlaceRequest,
    nowMs: number,
  ): void;
  recordEnd(
    placement: SendPlacement,
    request: PlaceRequest,
    end: SendEnd & { readonly nowMs: number },
  ): void;
  /** Records that a server asked this entry to send it no requests for a time
   * in milliseconds. */
  recordBackOff(server: TrackedServer, forMs: number, nowMs: number): void;
  /** True while a server has asked for no requests. */
  wantsNone(server: TrackedServer, nowMs: number): boolean;
  /** Requests in flight from this entry by server id. */
  countInFlight(): ReadonlyMap<string, number>;
  /** Replaces the requests in flight from all other entries, by server id. */
  setOtherLoads(counts: ReadonlyMap<string, number>, nowMs: number): void;
  /** Drops the state of unused servers; to be called periodically. */
  expire(nowMs: number): void;
  /** Returns the learned run times of each service, for logs. */
  describe(nowMs: number): readonly ServiceDescription[];
  /** True if answers from other regions would miss the route's target
   * latency. */
  keepsHome(service: string, route: string, targetLatencyMs: number): boolean;
  /** Returns the requests in flight per slot of the servers; 1 without
   * slots. */
  measureBusyShare(servers: readonly TrackedServer[], nowMs: number): number;
  /** Returns the observations since the last call, for the region's
   * aggregator. */
  takeObservations(): Observations;
  /** Adds the runs that another entry of the region observed. */
  addObservations(observations: Observations, nowMs: number): void;
  /** Returns the learned run times of each service, for the other entries of
   * the region; undefined until a service has enough samples. */
  exportPlans(nowMs: number): PlacingPlans | undefined;
  /** Replaces the run times by those that another entry exported. */
  importPlans(plans: PlacingPlans): void;
}

/** Creates the placer of one entry. */
export function createPlacer(options: PlacerOptions): Placer {
  return new AffinityPlacer(options);
}

/** Preferred region of a request, and the server that its object is assigned
 * to. */
interface PlannedTarget {
  readonly region: string;
  readonly assigned: TrackedServer | undefined;
}

class AffinityPlacer implements Placer {
  readonly #options: PlacerOptions;
  readonly #services: ServiceStates;
  readonly #order: ServerOrder;
  readonly #loads: ServerLoads;
  readonly #observations = new ObservationBuffer();
  /** Number of requests that may leave their planned region now. */
  #moveBudget = 0;

  constructor(options: PlacerOptions) {
    this.#options = options;
    this.#services = new ServiceStates();
    this.#order = new ServerOrder(options.random);
    this.#loads = new ServerLoads(options.random);
  }

  recordArrival(): void {
    this.#moveBudget = Math.min(
      MAX_MOVE_BUDGET,
      this.#moveBudget + MOVE_SHARE,
    );
  }

  place(
    request: PlaceRequest,
    servers: readonly TrackedServer[],
    nowMs: number,
  ): Placement {
    const planned = this.#choosePlannedTarget(request, servers);
    const orders = this.#findOrders(request, { servers, planned, nowMs });
    const chosen = this.#chooseCandidate(orders, { request, planned, nowMs });
    if (chosen === undefined) {
      return this.#refuse("no-server", NO_SERVER_RETRY_MS, { servers: 0 });
    }
    const { server, load, rank, expectedMs } = chosen;
    const busy = load.estimateLoad(nowMs);
    const latestMs = computeLatestMs(request);
    const inputs: RefusalInputs = {
      servers: servers.length,
      server: server.record.id,
      busy: Math.round(busy),
      expectedMs: Math.round(expectedMs),
      latestMs: Math.round(latestMs),
    };
    if (expectedMs > latestMs && this.#isTooLate(chosen, request, nowMs)) {
      return this.#refuse("too-late", expectedMs - latestMs, inputs);
    }
    if (isCold(chosen, nowMs)) load.takeColdToken();
    const hasSlot = busy < server.record.slots;
    return { type: "send", server, rank, expectedMs, hasSlot };
  }

  recordSend(
    { server }: SendPlacement,
    request: PlaceRequest,
    nowMs: number,
  ): void {
    this.#loads.get(server, nowMs).recordSend(getObjectKey(request), nowMs);
  }

  recordEnd(
    { server, hasSlot }: SendPlacement,
    request: PlaceRequest,
    end: SendEnd & { readonly nowMs: number },
  ): void {
    const { nowMs } = end;
    const load = this.#loads.get(server, nowMs);
    const runMs = end.elapsedMs - getRttMs(server, this.#options.homeRegion);
    const mayHaveWaited = !hasSlot || (end.load?.waiting ?? 0) > 0;
    if (end.outcome === "answered" && !mayHaveWaited && runMs > 0) {
      const service = this.#services.get(request.service);
      const name = getWorkName(request);
      const work = service.getWork(name, request.targetLatencyMs);
      load.recordSlowness(runMs / work.coldMs, nowMs);
      const run: RunObservation = {
        service: request.service,
        work: name,
        runMs,
      };
      service.recordRun(run, nowMs);
      this.#observations.addRun(run);
    }
    load.recordEnd(end, nowMs);
  }

  recordBackOff(server: TrackedServer, forMs: number, nowMs: number): void {
    this.#loads.get(server, nowMs).recordBackOff(forMs, nowMs);
  }

  wantsNone(server: TrackedServer, nowMs: number): boolean {
    return this.#loads.get(server, nowMs).isBackingOff(nowMs);
  }

  countInFlight(): ReadonlyMap<string, number> {
    return this.#loads.countInFlight();
  }

  setOtherLoads(counts: ReadonlyMap<string, number>, nowMs: number): void {
    this.#loads.setOtherLoads(counts, nowMs);
  }

  expire(nowMs: number): void {
    this.#loads.expire(nowMs);
  }

  describe(nowMs: number): readonly ServiceDescription[] {
    return this.#services.describe(nowMs);
  }

  keepsHome(service: string, route: string, targetLatencyMs: number): boolean {
    return this.#services.get(service).keepsHome(route, targetLatencyMs);
  }

  measureBusyShare(servers: readonly TrackedServer[], nowMs: number): number {
    let busy = 0;
    let slots = 0;
    for (const server of servers) {
      busy += this.#loads.get(server, nowMs).estimateLoad(nowMs);
      slots += server.record.slots;
    }
    return slots === 0 ? 1 : busy / slots;
  }

  exportPlans(nowMs: number): PlacingPlans | undefined {
    return this.#services.exportPlans(nowMs);
  }

  importPlans(plans: PlacingPlans): void {
    this.#services.importPlans(plans);
  }

  takeObservations(): Observations {
    return this.#observations.take();
  }

  addObservations({ runs }: Observations, nowMs: number): void {
    for (const run of runs) {
      this.#services.get(run.service).recordRun(run, nowMs);
    }
  }

  #choosePlannedTarget(
    request: PlaceRequest,
    servers: readonly TrackedServer[],
  ): PlannedTarget {
    const { homeRegion, random, findAssigned } = this.#options;
    const service = this.#services.get(request.service);
    service.getWork(getWorkName(request), request.targetLatencyMs);
    const key = getObjectKey(request);
    if (key !== undefined) this.#observations.addUse(key);
    const id = key === undefined ? undefined : findAssigned(key);
    const assigned = id === undefined
      ? undefined
      : servers.find(({ record }) => record.id === id);
    if (assigned !== undefined && isAllowed(assigned.region, request)) {
      return { region: assigned.region, assigned };
    }
    const region = chooseRegion(key ?? String(random()), {
      home: homeRegion,
      regionSlots: service.getRegionSlots(servers).filter((candidate) =>
        isAllowed(candidate.region, request)
      ),
      keepsHome: service.keepsHome(request.route, request.targetLatencyMs),
    });
    return { region: region ?? homeRegion, assigned: undefined };
  }

  /** Returns the usable servers by region, the assigned server first. */
  #findOrders(
    request: PlaceRequest,
    context: {
      readonly servers: readonly TrackedServer[];
      readonly planned: PlannedTarget;
      readonly nowMs: number;
    },
  ): RegionOrders {
    const { servers, planned, nowMs } = context;
    const { region, assigned } = planned;
    const usable = new Map<string, readonly TrackedServer[]>();
    const orders = this.#order.get(servers, getObjectKey(request));
    for (const [name, order] of orders) {
      if (!isAllowed(name, request)) continue;
      const all = assigned === undefined || name !== region
        ? order
        : [assigned, ...order.filter((server) => server !== assigned)];
      const candidates = this.#pickUsable(all, request, nowMs);
      if (candidates.length > 0) usable.set(name, candidates);
    }
    return usable;
  }

  #pickUsable(
    order: readonly TrackedServer[],
    request: PlaceRequest,
    nowMs: number,
  ): TrackedServer[] {
    const usable: TrackedServer[] = [];
    for (const server of order) {
      if (usable.length === MAX_CANDIDATES) break;
      if (this.#isUsable(server, request, nowMs)) usable.push(server);
    }
    return usable;
  }

  /** Chooses from other regions only if the planned one has no usable server,
   * or is saturated and would answer late. */
  #chooseCandidate(
    orders: RegionOrders,
    context: {
      readonly request: PlaceRequest;
      readonly planned: PlannedTarget;
      readonly nowMs: number;
    },
  ): Candidate | undefined {
    const { request, planned, nowMs } = context;
    const first = this.#chooseInRegion(
      orders.get(planned.region),
      request,
      nowMs,
    );
    const isLate = first !== undefined &&
      first.expectedMs + request.ageMs > request.targetLatencyMs &&
      first.load.estimateLoad(nowMs) >= first.server.record.slots;
    if (first !== undefined && !(isLate && this.#moveBudget >= 1)) return first;
    let best = first;
    for (const [region, order] of orders) {
      if (region === planned.region) continue;
      const other = this.#chooseInRegion(order, request, nowMs);
      if (other === undefined) continue;
      if (best === undefined || other.costMs < best.costMs) best = other;
    }
    if (first !== undefined && best !== first) this.#moveBudget -= 1;
    return best;
  }

  #chooseInRegion(
    order: readonly TrackedServer[] = [],
    request: PlaceRequest,
    nowMs: number,
  ): Candidate | undefined {
    const { homeRegion } = this.#options;
    const service = this.#services.get(request.service);
    const work = service.getWork(getWorkName(request), request.targetLatencyMs);
    const { meanRunMs } = service;
    let best: Candidate | undefined;
    for (const [rank, server] of order.entries()) {
      const load = this.#loads.get(server, nowMs);
      const inputs = { server, load, rank, homeRegion, work, meanRunMs };
      const candidate = computeCandidate(inputs, request, nowMs);
      if (best === undefined || candidate.costMs < best.costMs) {
        best = candidate;
      }
    }
    return best;
  }

  /** At a server with a free slot, a request is too late only by learned run
   * times: a guess must not refuse it. */
  #isTooLate(
    { server, load, expectedMs }: Candidate,
    request: PlaceRequest,
    nowMs: number,
  ): boolean {
    if (load.estimateLoad(nowMs) >= server.record.slots) return true;
    const work = this.#services.get(request.service)
      .getWork(getWorkName(request), request.targetLatencyMs);
    return work.isLearned && expectedMs > request.remainingMs;
  }

  #isUsable(
    server: TrackedServer,
    request: PlaceRequest,
    nowMs: number,
  ): boolean {
    if (request.excluded.has(server.record.id)) return false;
    const load = this.#loads.get(server, nowMs);
    if (load.isPaused(nowMs)) return false;
    if (!isCold({ server, load }, nowMs)) return true;
    // The rate limit of a cold server is split among the entries of its region.
    const { homeRegion, countEntries } = this.#options;
    const perSecond = request.coldPerSecond / Math.max(1, countEntries());
    return server.region === homeRegion &&
      load.estimateLoad(nowMs) < server.record.slots &&
      load.hasColdToken({ perSecond, untilMs: server.coldUntilMs }, nowMs);
  }

  #refuse(
    reason: RefusalReason,
    waitMs: number,
    inputs: RefusalInputs,
  ): Placement {
    // Jitter of 0.5 to 1.5 times keeps the callers from retrying all at once.
    const spreadMs = waitMs * (0.5 + this.#options.random());
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, spreadMs),
    );
    return { type: "refuse", reason, retryAfterMs, inputs };
  }
}

function isAllowed(region: string, { allowedRegions }: PlaceRequest): boolean {
  return allowedRegions.length === 0 || allowedRegions.includes(region);
}

/** Returns the longest accepted time in milliseconds until the answer. A retry
 * may take until the deadline, since a refusal would waste the first
 * attempt. */
function computeLatestMs(request: PlaceRequest): number {
  const { excluded, remainingMs, targetLatencyMs, ageMs } = request;
  if (excluded.size > 0) return remainingMs;
  return Math.min(remainingMs, MAX_LATENCY_RATIO * targetLatencyMs - ageMs);
}
