/**
 * Decodes packed sums.
 *
 * @module
 */

import type { KnownServers, LoadCounts, PackedLoads } from "./types.ts";

/** Decodes successive sums; may switch between aggregators. */
export interface LoadReader {
  /** Servers whose ids the next sums may omit. */
  readonly known: KnownServers;
  /** Returns the sums by server id; undefined if the reader lacks ids for some
   * of the numbers. */
  read(packed: PackedLoads): LoadCounts | undefined;
}

/** Creates a reader that knows no servers. */
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
