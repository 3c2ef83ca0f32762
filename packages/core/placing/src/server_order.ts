/**
 * Preference order of servers for each object.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import type { Random } from "@dotterelmoor/core.types";
import { computeDistance } from "./hashing.ts";
import { groupByRegion } from "./region_choice.ts";

/** Servers of a region in an object's order: more than are considered, because
 * those of a failed zone are unusable, but not all of them, to limit memory. */
const MAX_SERVERS = 24;

/** Maximum number of objects whose order is cached. */
const MAX_OBJECTS = 4_096;

/** First servers of each region, in preference order. */
export type RegionOrders = ReadonlyMap<string, readonly TrackedServer[]>;

interface CachedOrder {
  /** List that the order was computed from; the catalog creates a new list on
   * each change. */
  readonly servers: readonly TrackedServer[];
  readonly orders: RegionOrders;
}

/** Orders servers by rendezvous hashing, so that all entries agree. */
export class ServerOrder {
  readonly #random: Random;
  readonly #cache = new Map<string, CachedOrder>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** Returns the order for an object, or one with a random start without an
   * object. */
  get(
    servers: readonly TrackedServer[],
    object: string | undefined,
  ): RegionOrders {
    if (object === undefined) return this.#rotate(servers);
    const cached = this.#cache.get(object);
    if (cached?.servers === servers) return cached.orders;
    // A full cache is cleared as a whole; there is no eviction of single rows.
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
