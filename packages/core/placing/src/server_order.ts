/**
 * The order in which servers are considered for an object.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import type { Random } from "@dotterelmoor/core.types";
import { computeDistance } from "./hashing.ts";
import { groupByRegion } from "./region_choice.ts";

/** Servers of a region in an object's order: some more than are considered, as
 * those of a lost zone cannot be used. All of them would take much memory. */
const MAX_SERVERS = 24;

/** Objects whose order is kept. */
const MAX_OBJECTS = 4_096;

/** The first servers of each region, in order. */
export type RegionOrders = ReadonlyMap<string, readonly TrackedServer[]>;

interface CachedOrder {
  /** The list that the order was made of; the catalog makes a new one with
   * each change. */
  readonly servers: readonly TrackedServer[];
  readonly orders: RegionOrders;
}

/** Orders servers by rendezvous hashing, the same at every entry. */
export class ServerOrder {
  readonly #random: Random;
  readonly #cache = new Map<string, CachedOrder>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** Without an object, the order starts anywhere. */
  get(
    servers: readonly TrackedServer[],
    object: string | undefined,
  ): RegionOrders {
    if (object === undefined) return this.#rotate(servers);
    const cached = this.#cache.get(object);
    if (cached?.servers === servers) return cached.orders;
    // The cache is rebuilt now and then rather than aged entry by entry.
    if (this.#cache.size >= MAX_OBJECTS) this.#cache.clear();
    const orders = sortServers(servers, object);
    this.#cache.set(object, { servers, orders });
    return orders;
  }

  #rotate(servers: readonly TrackedServer[]): RegionOrders {
    const orders = new Map<string, TrackedServer[]>();
    for (const [region, group] of groupByRegion(servers)) {
      const start = Math.floor(this.#random() * group.length);
      const rotated = [...group.slice(start), ...group.slice(0, start)];
      orders.set(region, rotated.slice(0, MAX_SERVERS));
    }
    return orders;
  }
}

function sortServers(
  servers: readonly TrackedServer[],
  object: string,
): RegionOrders {
  const orders = new Map<string, TrackedServer[]>();
  for (const [region, group] of groupByRegion(servers)) {
    const sorted = group
      .map((server) => ({
        server,
        distance: computeDistance(`${object} ${server.record.id}`),
      }))
      .sort((a, b) => a.distance - b.distance)
      .slice(0, MAX_SERVERS);
    orders.set(region, sorted.map(({ server }) => server));
  }
  return orders;
}
