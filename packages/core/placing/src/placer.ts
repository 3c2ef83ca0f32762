/**
 * Places requests on backend servers.
 *
 * Pattern: servers answer several times faster for objects that they handled
 * lately, and have few slots. Each object has its own order of servers in each
 * region, the same at every entry, and goes to the server at which its answer
 * is expected first: by what all entries have in flight there, and by how often
 * a server at that place in the order has the object warm.
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

/** An answer expected later than this multiple of the target latency is
 * refused while the servers are saturated: the queue would only grow, and
 * every later request would be late too. */
const MAX_LATENCY_RATIO = 1.1;

/** Share of the requests that may leave their planned region at once because
 * they would be late there; the bound on region changes is 0.15. */
const MOVE_SHARE = 0.05;
const MAX_MOVE_BUDGET = 4;

/** Usable servers of a region that are considered for an object. Further ones
 * are cold, and would take slots from what is warm there. */
const MAX_CANDIDATES = 8;

/** Least and longest time in milliseconds after which to come back. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 2_000;

/** Time in milliseconds after which a paused server may be tried again. */
const NO_SERVER_RETRY_MS = 300;

/** Options of `createPlacer`. */
export interface PlacerOptions {
  readonly homeRegion: string;
  readonly random: Random;
  /** Live entries of the home region, this one included. */
  readonly countEntries: () => number;
  /** Id of the server that an object is assigned to. */
  readonly findAssigned: (key: string) => string | undefined;
}

/** Places the requests of one entry. */
export interface Placer {
  /** Chooses a server out of those of the request's service. */
  place(
    request: PlaceRequest,
    servers: readonly TrackedServer[],
    nowMs: number,
  ): Placement;
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
  /** Records that a server asked for no requests of this entry for a time in
   * milliseconds. */
  recordBackOff(server: TrackedServer, forMs: number, nowMs: number): void;
  /** True while a server has asked for no requests of this entry. */
  wantsNone(server: TrackedServer, nowMs: number): boolean;
  /** Requests in flight from this entry by server id. */
  countInFlight(): ReadonlyMap<string, number>;
  /** Takes over what all other entries have in flight by server id. */
  setOtherLoads(counts: ReadonlyMap<string, number>, nowMs: number): void;
  /** Forgets servers that are no longer used; to be called now and then. */
  expire(nowMs: number): void;
  describe(nowMs: number): readonly ServiceDescription[];
  /** True if a route's answers from other regions come too late. */
  keepsHome(service: string, route: string, targetLatencyMs: number): boolean;
  /** Requests in flight for each slot of some servers. */
  measureBusyShare(servers: readonly TrackedServer[], nowMs: number): number;
  /** What this entry saw since the last call, for the one that learns. */
  takeObservations(): Observations;
  /** Learns from what another entry of the region saw. */
  addObservations(observations: Observations, nowMs: number): void;
  /** What was learnt of each service, for other entries of the region;
   * undefined while that is too little. */
  exportPlans(nowMs: number): PlacingPlans | undefined;
  /** Goes on from what another entry of the region learnt. */
  importPlans(plans: PlacingPlans): void;
}

/** Creates the placer of one entry. */
export function createPlacer(options: PlacerOptions): Placer {
  return new AffinityPlacer(options);
}

/** Where a request is to run if nothing speaks against it. */
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
  /** Requests that may leave their planned region now. */
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

  /** Usable servers by region, the assigned one first. */
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

  /** Leaves the planned region if it has no server or would be late. */
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

  /** On a server with a free slot, only a known run time can be too long. */
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
    // Only the entries of its region share a cold server's rate.
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
    // Spread over half to one and a half times, or all would return at once.
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

/** The longest time in milliseconds that is accepted. What was sent before
 * would be lost with a refusal, so a second send may take until the deadline. */
function computeLatestMs(request: PlaceRequest): number {
  const { excluded, remainingMs, targetLatencyMs, ageMs } = request;
  if (excluded.size > 0) return remainingMs;
  return Math.min(remainingMs, MAX_LATENCY_RATIO * targetLatencyMs - ageMs);
}
