/**
 * Adds up what entries report to have in flight.
 *
 * @module
 */

import type { KnownServers, LoadCounts, PackedLoads } from "./types.ts";

/** Age in milliseconds above which a report does not count: an entry reports
 * every 200 ms, and one that ended leaves nothing in flight. */
const REPORT_TTL_MS = 700;

/** The same for the sums of another region, which are asked for every 400 ms
 * over a path of 70 ms. */
const REGION_SUMS_TTL_MS = 1_500;

const MAX_COUNT = 255;

/** Options of `createLoadBoard`. */
export interface LoadBoardOptions {
  /** Names the numbers that this board gives to servers; unique. */
  readonly numbering: string;
}

/** Reports of one region's entries and the sums of the other regions. */
export interface LoadBoard {
  /** Replaces what one entry reported before. */
  recordReport(reporter: string, counts: LoadCounts, nowMs: number): void;
  /** Replaces what the entries of another region have in flight. */
  recordRegion(region: string, counts: LoadCounts, nowMs: number): void;
  /** What this region's entries have in flight. */
  sumRegion(nowMs: number): LoadCounts;
  /** What the entries of all regions have in flight. */
  sumAll(nowMs: number): LoadCounts;
  /** Packs sums for a reader that knows some servers' numbers. */
  pack(sums: LoadCounts, known: KnownServers): PackedLoads;
}

interface TimedCounts {
  readonly counts: LoadCounts;
  readonly atMs: number;
}

/** Creates an empty board. */
export function createLoadBoard(options: LoadBoardOptions): LoadBoard {
  return new Aggregator(options);
}

class Aggregator implements LoadBoard {
  readonly #numbering: string;
  readonly #reports = new Map<string, TimedCounts>();
  readonly #regions = new Map<string, TimedCounts>();
  readonly #numbers = new Map<string, number>();
  readonly #servers: string[] = [];

  constructor({ numbering }: LoadBoardOptions) {
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

/** Adds the reports after a moment, and forgets the others. */
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
