/**
 * Load and health of all servers that an entry has used.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import type { Random } from "@dotterelmoor/core.types";
import { ServerLoad } from "./server_load.ts";

/** Time in milliseconds after which the state of an unused server is
 * dropped. */
const UNUSED_SERVER_TTL_MS = 60_000;

interface LoadRecord {
  readonly id: string;
  readonly load: ServerLoad;
  usedAtMs: number;
}

/** Loads by server; a server that restarts under the same id starts anew. */
export class ServerLoads {
  readonly #records = new Map<string, LoadRecord>();
  /** Requests in flight from other entries by server id, as last shared. */
  #otherLoads: ReadonlyMap<string, number> = new Map();
  #sharedAtMs = -Infinity;
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  get({ record }: TrackedServer, nowMs: number): ServerLoad {
    const key = `${record.id} ${record.bornMs}`;
    const existing = this.#records.get(key);
    if (existing !== undefined) {
      existing.usedAtMs = nowMs;
      return existing.load;
    }
    const load = new ServerLoad(this.#random);
    const { id } = record;
    load.setOtherLoad(this.#otherLoads.get(id) ?? 0, this.#sharedAtMs);
    this.#records.set(key, { id, load, usedAtMs: nowMs });
    return load;
  }

  /** Counts the requests in flight from this entry by server id. */
  countInFlight(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { id, load } of this.#records.values()) {
      if (load.inFlight === 0) continue;
      counts.set(id, (counts.get(id) ?? 0) + load.inFlight);
    }
    return counts;
  }

  /** Replaces the requests in flight from all other entries, by server id. */
  setOtherLoads(counts: ReadonlyMap<string, number>, nowMs: number): void {
    this.#otherLoads = counts;
    this.#sharedAtMs = nowMs;
    for (const { id, load } of this.#records.values()) {
      load.setOtherLoad(counts.get(id) ?? 0, nowMs);
    }
  }

  /** Drops the state of servers that have not been used recently. */
  expire(nowMs: number): void {
    for (const [key, { usedAtMs, load }] of this.#records) {
      const isIdle = load.inFlight === 0 && !load.isBackingOff(nowMs) &&
        nowMs - usedAtMs > UNUSED_SERVER_TTL_MS;
      if (isIdle) this.#records.delete(key);
    }
  }
}
