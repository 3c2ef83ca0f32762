/**
 * Counts the objects assigned to each server of one service.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { computeDistance } from "./hashing.ts";

/** Limit on the objects of a server, in proportion to its slots. */
export interface EvenShare {
  /** Number of objects of the service. */
  readonly objects: number;
  /** Multiple of the even share up to which a server has room. */
  readonly factor: number;
}

/** Number of objects by server. */
export class ObjectCounts {
  readonly #counts: Map<string, number>;
  readonly #totalSlots: number;

  constructor(servers: readonly TrackedServer[]) {
    this.#counts = new Map(servers.map(({ record }) => [record.id, 0]));
    this.#totalSlots = servers.reduce(
      (sum, server) => sum + server.record.slots,
      0,
    );
  }

  /** Adds an object to a server; false if the server is unknown. */
  add(id: string): boolean {
    const count = this.#counts.get(id);
    if (count === undefined) return false;
    this.#counts.set(id, count + 1);
    return true;
  }

  move(from: TrackedServer, to: TrackedServer): void {
    this.#counts.set(from.record.id, this.#counts.get(from.record.id)! - 1);
    this.add(to.record.id);
  }

  /** True if a server holds less than its share, rounded up. */
  hasRoom(
    { record }: TrackedServer,
    { objects, factor }: EvenShare,
  ): boolean {
    const share = factor * objects * record.slots / this.#totalSlots;
    return this.#counts.get(record.id)! < Math.ceil(share);
  }

  /** Returns the server with the fewest objects per slot; ties go to the first
   * one in the object's order. With a share, only servers with room count. */
  pickLeastLoaded(
    servers: readonly TrackedServer[],
    key: string,
    share: EvenShare | undefined,
  ): TrackedServer | undefined {
    let best: TrackedServer | undefined;
    let bestFill = Infinity;
    let bestDistance = Infinity;
    for (const server of servers) {
      if (share !== undefined && !this.hasRoom(server, share)) continue;
      const fill = this.#getFill(server);
      if (fill > bestFill) continue;
      const distance = computeDistance(`${key} ${server.record.id}`);
      if (fill === bestFill && distance >= bestDistance) continue;
      best = server;
      bestFill = fill;
      bestDistance = distance;
    }
    return best;
  }

  /** Returns the servers with the most and the fewest objects per slot. */
  findExtremes(servers: readonly TrackedServer[]): {
    readonly fullest: TrackedServer;
    readonly emptiest: TrackedServer;
  } {
    let fullest = servers[0]!;
    let emptiest = servers[0]!;
    for (const server of servers) {
      if (this.#getFill(server) > this.#getFill(fullest)) fullest = server;
      if (this.#getFill(server) < this.#getFill(emptiest)) emptiest = server;
    }
    return { fullest, emptiest };
  }

  /** Returns how many objects `fuller` holds beyond the objects per slot of
   * `emptier`. */
  countExcess(fuller: TrackedServer, emptier: TrackedServer): number {
    const fill = this.#getFill(fuller) - this.#getFill(emptier);
    return fill * fuller.record.slots;
  }

  #getFill({ record }: TrackedServer): number {
    return this.#counts.get(record.id)! / record.slots;
  }
}
