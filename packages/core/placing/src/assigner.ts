/**
 * Assigns objects to servers evenly.
 *
 * A server caches few objects, and a cold run takes several times the slot time
 * of a warm run. If every object went to the first server of its own order,
 * some servers would get too many objects, and the overflow would run cold
 * elsewhere. Instead, one entry assigns each object to a server, so that all
 * servers hold the same number of objects per slot. Servers of the callers'
 * region come first, and an object stays while its server lives, apart from the
 * few that are moved for balance.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { AssignmentTable } from "./assignment_table.ts";
import { computeDistance } from "./hashing.ts";
import { ObjectCounts } from "./object_counts.ts";
import { HomeFactors } from "./home_factors.ts";
import { parseObjectKey } from "./object_key.ts";
import { chooseRegion, countRegionSlots } from "./region_choice.ts";

/** Time in milliseconds without a request after which an assignment is dropped;
 * by then the server no longer caches the object. */
const UNUSED_OBJECT_TTL_MS = 20_000;

/** Maximum number of assigned objects. With more objects, their own orders
 * spread them evenly enough. */
const MAX_OBJECTS = 4_096;

/** Minimum time in milliseconds between two rounds of moves of a service's
 * objects, and the share of the objects that moves in each. A moved object is
 * cold at first, and at most 0.15 of a region's requests may change region
 * within 2 s. */
const MOVE_INTERVAL_MS = 250;
const MOVE_SHARE = 0.01;

/** Excess of objects over another server from which an object is moved. */
const MOVE_EXCESS = 2;

interface AssignedObject {
  /** Region of the callers that request the object. */
  readonly home: string;
  readonly usedAtMs: number;
}

/** Options of `Assigner.update`. */
export interface AssignOptions {
  /** Returns the servers of a service that may receive requests. */
  readonly findServers: (service: string) => readonly TrackedServer[];
  /** True if answers for an object from other regions would be too late. */
  readonly keepsHome: (key: string) => boolean;
  /** Returns the requests in flight per slot of the servers. */
  readonly measureBusyShare: (servers: readonly TrackedServer[]) => number;
  readonly nowMs: number;
}

/** Objects and servers of one service during an update. */
interface ServiceObjects {
  readonly service: string;
  readonly servers: readonly TrackedServer[];
  readonly keys: readonly string[];
  readonly held: ObjectCounts;
  readonly keepsHome: (key: string) => boolean;
}

/** Assigns the objects of all services. */
export class Assigner {
  readonly table: AssignmentTable;
  readonly #objects = new Map<string, AssignedObject>();
  readonly #movedAtMs = new Map<string, number>();
  readonly #homeFactors = new HomeFactors();

  /** Continues with the assignments of the table. */
  constructor(table: AssignmentTable) {
    this.table = table;
  }

  /** Records that callers of a region requested objects. */
  addUses(region: string, keys: Iterable<string>, nowMs: number): void {
    for (const key of keys) {
      const existing = this.#objects.get(key);
      if (existing === undefined && this.#objects.size >= MAX_OBJECTS) continue;
      const home = existing?.home ?? region;
      this.#objects.set(key, { home, usedAtMs: nowMs });
    }
  }

  /** Drops unused objects, assigns new ones and those of lost servers, and
   * rebalances the rest. */
  update(options: AssignOptions): void {
    const { findServers, keepsHome, measureBusyShare, nowMs } = options;
    this.#removeUnused(nowMs);
    for (const [service, keys] of this.#groupObjects()) {
      const servers = findServers(service).filter((server) =>
        nowMs >= server.coldUntilMs
      );
      if (servers.length === 0) continue;
      const held = new ObjectCounts(servers);
      const objects = { service, servers, keys, held, keepsHome };
      this.#assignNew(objects);
      const movedAtMs = this.#movedAtMs.get(service) ?? -Infinity;
      if (nowMs - movedAtMs < MOVE_INTERVAL_MS) continue;
      this.#movedAtMs.set(service, nowMs);
      this.#homeFactors.update(service, { servers, measureBusyShare });
      this.#rebalance(objects);
      this.#moveToHomeRegion(objects);
    }
  }

  #removeUnused(nowMs: number): void {
    for (const [key, { usedAtMs }] of this.#objects) {
      if (nowMs - usedAtMs < UNUSED_OBJECT_TTL_MS) continue;
      this.#objects.delete(key);
      this.table.remove(key);
    }
  }

  #groupObjects(): Map<string, string[]> {
    const groups = new Map<string, string[]>();
    for (const key of this.#objects.keys()) {
      const { service } = parseObjectKey(key);
      const group = groups.get(service);
      if (group === undefined) groups.set(service, [key]);
      else group.push(key);
    }
    return groups;
  }

  #assignNew(objects: ServiceObjects): void {
    const { keys, held } = objects;
    const added: string[] = [];
    for (const key of keys) {
      const id = this.table.find(key);
      if (id === undefined || !held.add(id)) added.push(key);
    }
    for (const key of added) this.#assign(key, objects);
  }

  #assign(key: string, objects: ServiceObjects): void {
    const home = this.#getHome(key);
    const { service, servers, keys, held } = objects;
    const keepsHome = objects.keepsHome(key);
    const first = findInitialServer(key, { home, servers, keepsHome });
    const isHome = first.region === home;
    const factor = isHome ? this.#homeFactors.get(service, home) : 1;
    const homeServers = servers.filter(({ region }) => region === home);
    const limit = { objects: keys.length, factor };
    const chosen = held.hasRoom(first, limit) ? first : held.pickLeastLoaded(
      homeServers,
      key,
      keepsHome ? undefined : limit,
    ) ??
      held.pickLeastLoaded(servers, key, undefined)!;
    held.add(chosen.record.id);
    this.table.set(key, chosen.record.id);
  }

  /** Moves objects from the servers with the most objects per slot to those
   * with the fewest. */
  #rebalance(objects: ServiceObjects): void {
    const { service, keys, held, servers } = objects;
    for (let moves = 0; moves < countMoves(keys); moves++) {
      const { fullest, emptiest } = held.findExtremes(servers);
      // An idle region may hold more than its even share.
      const mayKeep = this.#homeFactors.get(service, fullest.region) > 1 &&
        fullest.region !== emptiest.region;
      const excess = held.countExcess(fullest, emptiest);
      if (mayKeep || excess < MOVE_EXCESS) return;
      const moved = this.#pickMoved(objects, fullest, emptiest);
      if (moved === undefined) return;
      held.move(fullest, emptiest);
      this.table.set(moved, emptiest.record.id);
    }
  }

  /** Moves objects to the region of their callers where it has room. */
  #moveToHomeRegion(
    { service, keys, held, servers }: ServiceObjects,
  ): void {
    let remaining = countMoves(keys);
    for (const key of keys) {
      if (remaining === 0) return;
      const home = this.#getHome(key);
      const factor = this.#homeFactors.get(service, home);
      const id = this.table.find(key);
      const from = servers.find(({ record }) => record.id === id);
      if (factor <= 1 || from === undefined || from.region === home) continue;
      const homeServers = servers.filter(({ region }) => region === home);
      const limit = { objects: keys.length, factor };
      const to = held.pickLeastLoaded(homeServers, key, limit);
      if (to === undefined) continue;
      held.move(from, to);
      this.table.set(key, to.record.id);
      remaining -= 1;
    }
  }

  /** Picks an object of the fullest server to move: preferably one whose
   * callers are in the target's region, then one that is away from its callers'
   * region already, then any. Skips objects that would be answered too late. */
  #pickMoved(
    { keys, keepsHome }: ServiceObjects,
    fullest: TrackedServer,
    emptiest: TrackedServer,
  ): string | undefined {
    const movable = keys.filter((key) =>
      this.table.find(key) === fullest.record.id &&
      (this.#getHome(key) === emptiest.region || !keepsHome(key))
    );
    return movable.find((key) => this.#getHome(key) === emptiest.region) ??
      movable.find((key) => this.#getHome(key) !== fullest.region) ??
      movable[0];
  }

  #getHome(key: string): string {
    return this.#objects.get(key)!.home;
  }
}

function countMoves(keys: readonly string[]): number {
  return Math.max(1, Math.floor(MOVE_SHARE * keys.length));
}

/** Returns the server that an object's requests go to before it is assigned. */
function findInitialServer(
  key: string,
  options: {
    readonly home: string;
    readonly servers: readonly TrackedServer[];
    readonly keepsHome: boolean;
  },
): TrackedServer {
  const { home, servers, keepsHome } = options;
  const regionSlots = countRegionSlots(servers);
  const region = chooseRegion(key, { home, regionSlots, keepsHome });
  let first = servers[0]!;
  let least = Infinity;
  for (const server of servers) {
    if (server.region !== region) continue;
    const distance = computeDistance(`${key} ${server.record.id}`);
    if (distance >= least) continue;
    first = server;
    least = distance;
  }
  return first;
}
