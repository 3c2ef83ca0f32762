/**
 * Simulated entries, backend servers, network delays and requests of the policy
 * benchmark.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ModelServer } from "./model_server.ts";
import { VirtualClock } from "./virtual_clock.ts";

/** Number of regions. */
export const REGION_COUNT = 3;

/** Number of services, each with a group in each region. */
export const SERVICE_COUNT = 4;

const ENTRIES_PER_REGION = 6;
const SERVERS_PER_GROUP = 4;

/** Slots per server. */
export const SLOTS_PER_SERVER = 3;

/** One-way delay between zones of a region. */
const ZONE_DELAY_MS = 0.5;

/** One-way delay between regions. */
const REGION_DELAY_MS = 35;

/** Interval at which each entry reads server health and the instance list. */
export const POLL_INTERVAL_MS = 500;

/** Mean of the lognormal service time. */
const MEAN_SERVICE_MS = 40;

/** Standard deviation of the logarithm of the service time. */
const SERVICE_SIGMA = 0.7;

/** Factor on the load while a quarter of the servers leaves. */
const LEAVING_LOAD_FACTOR = 0.6;

/** Slots of a group. */
export const GROUP_SLOTS = SERVERS_PER_GROUP * SLOTS_PER_SERVER;

/** Requests per second that the slots of a group can answer when warm. */
export const GROUP_RATE_PER_SECOND = GROUP_SLOTS * 1000 / MEAN_SERVICE_MS;

/** Location in the network. */
export interface NetworkLocation {
  readonly region: number;
  readonly zone: number;
}

/** A simulated entry. */
export interface ModelEntry extends NetworkLocation {
  /** Offset of its polls, so that the entries don't poll at the same time. */
  readonly pollPhaseMs: number;
  alive: boolean;
}

/** A group: the servers of a service in a region. */
export interface ModelGroup {
  readonly service: number;
  readonly region: number;
  readonly servers: readonly ModelServer[];
}

/** A request that reaches an entry. */
export interface ModelRequest {
  readonly id: string;
  /** Virtual time at which the request reaches its entry. */
  readonly atMs: number;
  readonly group: ModelGroup;
  readonly entry: ModelEntry;
  readonly serviceMs: number;
}

/** Outcome of a request for its caller; unknown if it failed. */
export type CallerResult = "answered" | "refused" | "failed";

/** Dispatch policy under test. */
export interface Policy {
  /** Handles a request at its entry; `onEnd` reports the outcome there. */
  submit(
    request: ModelRequest,
    onEnd: (result: CallerResult) => void,
  ): void;
  /** Called when an entry is killed. */
  kill?(entry: ModelEntry): void;
}

/** Options of `World`. */
export interface WorldOptions {
  readonly seed: number;
  /** Share of the warm slots that the requests need. */
  readonly load: number;
  /** Virtual time up to which requests arrive. */
  readonly durationMs: number;
  /** Virtual time from which the load is lower, as servers leave. */
  readonly leavingAtMs: number;
  /** Factor by which the first requests take longer; 1 for warm servers. */
  readonly coldFactor: number;
  /** Time from the arrival of a request to its deadline. */
  readonly deadlineMs: number;
}

/** Simulated system; the same options give the same system for each policy. */
export class World {
  readonly options: WorldOptions;
  readonly clock = new VirtualClock();
  readonly groups: ModelGroup[] = [];
  readonly entries: ModelEntry[] = [];

  constructor(options: WorldOptions) {
    this.options = options;
    const { clock } = this;
    for (let region = 0; region < REGION_COUNT; region++) {
      for (let n = 0; n < ENTRIES_PER_REGION; n++) {
        const pollPhaseMs = POLL_INTERVAL_MS * n / ENTRIES_PER_REGION;
        this.entries.push({ region, zone: n % 2, pollPhaseMs, alive: true });
      }
      for (let service = 0; service < SERVICE_COUNT; service++) {
        const servers = Array.from({ length: SERVERS_PER_GROUP }, (_, n) => {
          const id = `server-${service}-${region}-${n}`;
          const { coldFactor } = options;
          const zone = n % 2;
          return new ModelServer({
            id,
            region,
            zone,
            slots: SLOTS_PER_SERVER,
            coldFactor,
            clock,
          });
        });
        this.groups.push({ service, region, servers });
      }
    }
  }

  /** Creates a generator of numbers in [0, 1) with a seed for each purpose. */
  makeRandom(purpose: number): Random {
    const generator = xoroshiro128plus(this.options.seed * 1000 + purpose);
    return () => uniformFloat64(generator);
  }

  /** Lists the entries of a region, killed ones too. */
  listEntries(region: number): ModelEntry[] {
    return this.entries.filter((entry) => entry.region === region);
  }

  /** Returns the group of a service in a region. */
  getGroup(service: number, region: number): ModelGroup {
    return this.groups[region * SERVICE_COUNT + service]!;
  }

  /** Returns true if a poll of the entry has shown that the server leaves. */
  hasSeenLeaving(entry: ModelEntry, server: ModelServer): boolean {
    const sinceMs = server.leavingAtMs - entry.pollPhaseMs;
    const seenMs = Math.ceil(sinceMs / POLL_INTERVAL_MS) * POLL_INTERVAL_MS +
      entry.pollPhaseMs;
    return this.clock.nowMs >= seenMs;
  }

  /** Generates Poisson arrivals for all groups, ordered by time. */
  makeRequests(): ModelRequest[] {
    const requests: ModelRequest[] = [];
    for (const [index, group] of this.groups.entries()) {
      const random = this.makeRandom(index);
      const entries = this.listEntries(group.region);
      const gapMs = 1000 / (GROUP_RATE_PER_SECOND * this.options.load);
      let atMs = 0;
      for (let n = 0;; n++) {
        const isLate = atMs > this.options.leavingAtMs;
        const factor = isLate ? 1 / LEAVING_LOAD_FACTOR : 1;
        atMs -= factor * gapMs * Math.log(1 - random());
        if (atMs > this.options.durationMs) break;
        const entry = entries[Math.floor(random() * entries.length)]!;
        const serviceMs = pickServiceMs(random);
        requests.push({ id: `${index}-${n}`, atMs, group, entry, serviceMs });
      }
    }
    return requests.sort((left, right) => left.atMs - right.atMs);
  }
}

/** Computes the one-way delay between two locations. */
export function computeDelayMs(
  from: NetworkLocation,
  to: NetworkLocation,
): number {
  if (from.region !== to.region) return REGION_DELAY_MS;
  return from.zone === to.zone ? 0 : ZONE_DELAY_MS;
}

/** Draws a lognormal service time. */
function pickServiceMs(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = radius * Math.cos(2 * Math.PI * random());
  const mu = Math.log(MEAN_SERVICE_MS) - SERVICE_SIGMA ** 2 / 2;
  return Math.exp(mu + SERVICE_SIGMA * normal);
}
