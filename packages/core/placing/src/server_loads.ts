/**
 * The load and health of all servers that an entry has used.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import type { Random } from "@dotterelmoor/core.types";
import { ServerLoad } from "./server_load.ts";

/** Servers unused for this time in milliseconds are forgotten. */
const FORGET_MS = 60_000;

interface LoadEntry {
  readonly id: string;
  readonly load: ServerLoad;
  usedAtMs: number;
}

/** Loads by server; a restart under the same id keeps nothing. */
export class ServerLoads {
  readonly #entries = new Map<string, LoadEntry>();
  /** What other entries have in flight, as they told last. */
  #others: ReadonlyMap<string, number> = new Map();
  #toldAtMs = -Infinity;
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  get({ record }: TrackedServer, nowMs: number): ServerLoad {
    const key = `${record.id} ${record.bornMs}`;
    const known = this.#entries.get(key);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known.load;
    }
    const load = new ServerLoad(this.#random);
    const { id } = record;
    load.setOthers(this.#others.get(id) ?? 0, this.#toldAtMs);
    this.#entries.set(key, { id, load, usedAtMs: nowMs });
    return load;
  }

  /** Requests in flight from this entry by server id. */
  countInFlight(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { id, load } of this.#entries.values()) {
      if (load.inFlight === 0) continue;
      counts.set(id, (counts.get(id) ?? 0) + load.inFlight);
    }
    return counts;
  }

  /** Takes over what all other entries have in flight. */
  setOthers(counts: ReadonlyMap<string, number>, nowMs: number): void {
    this.#others = counts;
    this.#toldAtMs = nowMs;
    for (const { id, load } of this.#entries.values()) {
      load.setOthers(counts.get(id) ?? 0, nowMs);
    }
  }

  expire(nowMs: number): void {
    for (const [key, { usedAtMs, load }] of this.#entries) {
      const isIdle = load.inFlight === 0 && !load.wantsNone(nowMs) &&
        nowMs - usedAtMs > FORGET_MS;
      if (isIdle) this.#entries.delete(key);
    }
  }
}
