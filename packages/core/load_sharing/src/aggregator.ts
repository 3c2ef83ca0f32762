/**
 * Adds up the requests in flight that entries report.
 *
 * @module
 */

import type { KnownServers, LoadCounts, PackedLoads } from "./types.ts";

/** Age in milliseconds from which a report is dropped. Entries report every 50
 * to 200 ms, and an entry that has ended has nothing in flight. */
const REPORT_TTL_MS = 700;

/** Age in milliseconds from which the sums of another region are dropped; they
 * are requested every 200 to 400 ms over a path of 70 ms. */
const REGION_SUMS_TTL_MS = 1_500;

const MAX_COUNT = 255;

/** Options of `createLoadAggregator`. */
export interface LoadAggregatorOptions {
  /** Unique id of the numbering of servers. */
  readonly numbering: string;
}

/** Aggregates the reports of one region's entries and the sums of the other
 * regions. */
export interface LoadAggregator {
  /** Replaces the previous report of an entry. */
  recordReport(reporter: string, counts: LoadCounts, nowMs: number): void;
  /** Replaces the sums of another region. */
  recordRegion(region: string, counts: LoadCounts, nowMs: number): void;
  /** Returns the requests in flight from the entries of this region. */
  sumRegion(nowMs: number): LoadCounts;
  /** Returns the requests in flight from the entries of all regions. */
  sumAll(nowMs: number): LoadCounts;
  /** Encodes sums for a reader, without the ids of servers that it knows. */
  pack(sums: LoadCounts, known: KnownServers): PackedLoads;
}

interface TimedCounts {
  readonly counts: LoadCounts;
  readonly atMs: number;
}

/** Creates an aggregator without reports. */
export function createLoadAggregator(
  options: LoadAggregatorOptions,
): LoadAggregator {
  return new Aggregator(options);
}

class Aggregator implements LoadAggregator {
  readonly #numbering: string;
  readonly #reports = new Map<string, TimedCounts>();
  readonly #regions = new Map<string, TimedCounts>();
  readonly #numbers = new Map<string, number>();
  readonly #servers: string[] = [];

  constructor({ numbering }: LoadAggregatorOptions) {
    this.#numbering = numbering;
  }

  recordReport(reporter: string, counts: LoadCounts, nowMs: number): void {
    this.#reports.set(reporter, { counts, atMs: nowMs });
  }

  recordRegion(region: string, counts: LoadCounts, nowMs: number): void {
    this.#regions.set(region, { counts, atMs: nowMs });
  }

  sumRegion(nowMs: number): LoadCounts {
    const sums = new Map<string, number>();
    addUnexpired(sums, this.#reports, nowMs - REPORT_TTL_MS);
    return sums;
  }

  sumAll(nowMs: number): LoadCounts {
    const sums = new Map(this.sumRegion(nowMs));
    addUnexpired(sums, this.#regions, nowMs - REGION_SUMS_TTL_MS);
    return sums;
  }

  pack(sums: LoadCounts, known: KnownServers): PackedLoads {
    for (const server of sums.keys()) this.#getNumber(server);
    const counts = new Uint8Array(this.#servers.length);
    for (const [server, count] of sums) {
      counts[this.#getNumber(server)] = Math.min(MAX_COUNT, count);
    }
    const isIncremental = known.numbering === this.#numbering &&
      known.count <= this.#servers.length;
    const from = isIncremental ? known.count : 0;
    const servers = this.#servers.slice(from);
    return { numbering: this.#numbering, from, servers, counts };
  }

  #getNumber(server: string): number {
    let number = this.#numbers.get(server);
    if (number === undefined) {
      number = this.#servers.push(server) - 1;
      this.#numbers.set(server, number);
    }
    return number;
  }
}

/** Adds the reports after `afterMs` to the sums, and deletes the others. */
function addUnexpired(
  sums: Map<string, number>,
  reports: Map<string, TimedCounts>,
  afterMs: number,
): void {
  for (const [name, { counts, atMs }] of reports) {
    if (atMs <= afterMs) {
      reports.delete(name);
      continue;
    }
    for (const [server, count] of counts) {
      sums.set(server, (sums.get(server) ?? 0) + count);
    }
  }
}
