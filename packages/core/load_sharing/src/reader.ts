/**
 * Reads packed sums.
 *
 * @module
 */

import type { KnownServers, LoadCounts, PackedLoads } from "./types.ts";

/** Reads the sums of one board after the other. */
export interface LoadReader {
  /** What the next sums need not name. */
  readonly known: KnownServers;
  /** Sums by server id; undefined if they lack names for their numbers. */
  read(packed: PackedLoads): LoadCounts | undefined;
}

/** Creates a reader that knows no server. */
export function createLoadReader(): LoadReader {
  return new PackedLoadReader();
}

class PackedLoadReader implements LoadReader {
  #numbering = "";
  #servers: string[] = [];

  get known(): KnownServers {
    return { numbering: this.#numbering, count: this.#servers.length };
  }

  read(packed: PackedLoads): LoadCounts | undefined {
    const { numbering, from, servers, counts } = packed;
    if (numbering !== this.#numbering) {
      this.#numbering = numbering;
      this.#servers = [];
    }
    if (from > this.#servers.length) return undefined;
    this.#servers.splice(from, servers.length, ...servers);
    if (counts.length > this.#servers.length) return undefined;
    const sums = new Map<string, number>();
    for (const [number, count] of counts.entries()) {
      if (count > 0) sums.set(this.#servers[number]!, count);
    }
    return sums;
  }
}
