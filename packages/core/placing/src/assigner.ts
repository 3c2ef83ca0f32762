/**
 * Assigns objects to servers evenly.
 *
 * Pattern: objects that all go to the first server of their own order pile up
 * at some servers, and cold runs follow where they spill over. One entry gives
 * each object a server instead, the best of its order among those with fewest
 * objects, and keeps it there while the server lasts.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { AssignmentTable } from "./assignment_table.ts";
import { computeDistance } from "./hashing.ts";
import { getServiceOfKey } from "./object_key.ts";

/** Time in milliseconds without a request after which an object is forgotten;
 * by then its servers have forgotten it too. */
const FORGET_MS = 20_000;

/** Objects that are assigned; with more of them, their own orders fill servers
 * evenly enough. */
const MAX_OBJECTS = 4_096;

/** Least time in milliseconds between two moves of a service's objects to even
 * out servers: each one that moves is cold at first. */
const MOVE_INTERVAL_MS = 250;

/** Objects per slot by which a server exceeds another one before an object
 * moves, in objects of the fuller one. */
const MOVE_EXCESS = 2;

/** What `update` needs. */
export interface AssignOptions {
  /** Servers that may get objects of a service. */
  readonly findServers: (service: string) => readonly TrackedServer[];
  readonly nowMs: number;
}

/** Assigns the objects of one scope. */
export class Assigner {
  readonly table: AssignmentTable;
  /** Monotonic time of the last request for each object. */
  readonly #usedAtMs = new Map<string, number>();
  readonly #movedAtMs = new Map<string, number>();

  /** Goes on from the objects of a table, or from none. */
  constructor(table: AssignmentTable, nowMs: number) {
    this.table = table;
    this.addUses(table.keys(), nowMs);
  }

  /** Adds requests for objects. */
  addUses(keys: Iterable<string>, nowMs: number): void {
    for (const key of keys) {
      const isKnown = this.#usedAtMs.has(key);
      if (!isKnown && this.#usedAtMs.size >= MAX_OBJECTS) continue;
      this.#usedAtMs.set(key, nowMs);
    }
  }

  /** Assigns new objects and those of lost servers, and evens out the rest. */
  update(options: AssignOptions): void {
    this.#forget(options.nowMs);
    for (const [service, keys] of this.#groupObjects()) {
      const servers = options.findServers(service).filter((server) =>
        options.nowMs >= server.coldUntilMs
      );
      if (servers.length === 0) continue;
      const held = this.#countHeld(servers, keys);
      for (const key of keys) {
        const id = this.table.find(key);
        if (id === undefined || !held.has(id)) this.#assign(key, servers, held);
      }
      this.#evenOut(service, { servers, keys, held, nowMs: options.nowMs });
    }
  }

  #forget(nowMs: number): void {
    for (const [key, usedAtMs] of this.#usedAtMs) {
      if (nowMs - usedAtMs < FORGET_MS) continue;
      this.#usedAtMs.delete(key);
      this.table.remove(key);
    }
  }

  #groupObjects(): Map<string, string[]> {
    const groups = new Map<string, string[]>();
    for (const key of this.#usedAtMs.keys()) {
      const service = getServiceOfKey(key);
      const group = groups.get(service);
      if (group === undefined) groups.set(service, [key]);
      else group.push(key);
    }
    return groups;
  }

  /** Objects that each server holds. */
  #countHeld(
    servers: readonly TrackedServer[],
    keys: readonly string[],
  ): Map<string, number> {
    const held = new Map(servers.map(({ record }) => [record.id, 0]));
    for (const key of keys) {
      const id = this.table.find(key);
      const count = id === undefined ? undefined : held.get(id);
      if (count !== undefined) held.set(id!, count + 1);
    }
    return held;
  }

  /** The best server in the order of the object among the least filled. */
  #assign(
    key: string,
    servers: readonly TrackedServer[],
    held: Map<string, number>,
  ): void {
    let best = servers[0]!;
    let bestFill = Infinity;
    let bestDistance = Infinity;
    for (const server of servers) {
      const fill = computeFill(server, held);
      if (fill > bestFill) continue;
      const distance = computeDistance(`${key} ${server.record.id}`);
      if (fill === bestFill && distance >= bestDistance) continue;
      best = server;
      bestFill = fill;
      bestDistance = distance;
    }
    const { id } = best.record;
    held.set(id, held.get(id)! + 1);
    this.table.set(key, id);
  }

  #evenOut(
    service: string,
    context: {
      readonly servers: readonly TrackedServer[];
      readonly keys: readonly string[];
      readonly held: Map<string, number>;
      readonly nowMs: number;
    },
  ): void {
    const { servers, keys, held, nowMs } = context;
    const movedAtMs = this.#movedAtMs.get(service) ?? -Infinity;
    if (nowMs - movedAtMs < MOVE_INTERVAL_MS) return;
    const fullest = pickExtreme(servers, (server) => computeFill(server, held));
    const emptiest = pickExtreme(
      servers,
      (server) => -computeFill(server, held),
    );
    const excess = computeFill(fullest, held) - computeFill(emptiest, held);
    if (excess * fullest.record.slots < MOVE_EXCESS) return;
    const moved = keys.find((key) =>
      this.table.find(key) === fullest.record.id
    );
    if (moved === undefined) return;
    this.table.set(moved, emptiest.record.id);
    this.#movedAtMs.set(service, nowMs);
  }
}

/** Objects for each slot of a server. */
function computeFill(
  { record }: TrackedServer,
  held: ReadonlyMap<string, number>,
): number {
  return held.get(record.id)! / record.slots;
}

function pickExtreme(
  servers: readonly TrackedServer[],
  measure: (server: TrackedServer) => number,
): TrackedServer {
  return servers.reduce((best, server) =>
    measure(server) > measure(best) ? server : best
  );
}
