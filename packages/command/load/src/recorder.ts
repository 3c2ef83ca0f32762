/**
 * Records the outcomes and latencies of a run.
 *
 * @module
 */

import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { RequestOutcome } from "./outcomes.ts";

/** Latencies above this value are recorded as this value. */
const MAX_LATENCY_US = 600_000_000;

/** Count and percentiles of latencies, in milliseconds; 0 if there are none. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** A finished request. */
export interface FinishedRequest extends RequestOutcome {
  readonly service: string;
  readonly region: string;
  /** Milliseconds from the intended start to the end. */
  readonly latencyMs: number;
  /** End in milliseconds since the start of the run. */
  readonly endedAtMs: number;
}

/** Report on the requests of one service from one region, or on all. */
export interface GroupReport {
  readonly service: string;
  readonly region: string;
  /** Latency of answered requests. */
  readonly answered: LatencySummary;
  /** Latency of all requests, regardless of their outcome. */
  readonly all: LatencySummary;
  /** Counts by outcome and reason, such as `not-run shift-cap`. */
  readonly outcomes: Readonly<Record<string, number>>;
}

/** Report on the requests that ended within one interval. */
export interface IntervalReport {
  readonly startMs: number;
  readonly answered: LatencySummary;
  readonly ended: number;
  /** Minimum headroom in the responses, 0 to 1; null if none states it. */
  readonly minHeadroom: number | null;
  /** Number of responses from entries that are shutting down. */
  readonly draining: number;
}

interface Group {
  readonly service: string;
  readonly region: string;
  readonly answered: Histogram;
  readonly all: Histogram;
  readonly outcomes: Map<string, number>;
}

/** Aggregates finished requests by group and by interval. */
export class Recorder {
  readonly #intervalMs: number;
  readonly #total = makeGroup("all", "all");
  readonly #groups = new Map<string, Group>();
  readonly #intervals: IntervalReport[] = [];
  #current: Interval;

  constructor(intervalMs: number) {
    this.#intervalMs = intervalMs;
    this.#current = new Interval(0);
  }

  /** Records a finished request; call it in the order of `endedAtMs`. */
  record(finished: FinishedRequest): void {
    const { service, region } = finished;
    const key = `${service} ${region}`;
    let group = this.#groups.get(key);
    if (group === undefined) {
      group = makeGroup(service, region);
      this.#groups.set(key, group);
    }
    recordInGroup(this.#total, finished);
    recordInGroup(group, finished);
    this.#closeIntervals(finished.endedAtMs);
    this.#current.record(finished);
  }

  /** Reports the total, each group, and each interval so far. */
  report(): {
    readonly total: GroupReport;
    readonly groups: GroupReport[];
    readonly intervals: IntervalReport[];
  } {
    return {
      total: reportGroup(this.#total),
      groups: [...this.#groups.values()].map(reportGroup),
      intervals: [...this.#intervals, this.#current.report()],
    };
  }

  #closeIntervals(nowMs: number): void {
    while (nowMs >= this.#current.startMs + this.#intervalMs) {
      this.#intervals.push(this.#current.report());
      this.#current = new Interval(this.#current.startMs + this.#intervalMs);
    }
  }
}

class Interval {
  readonly startMs: number;
  readonly #answered = makeHistogram();
  #ended = 0;
  #minHeadroom: number | null = null;
  #draining = 0;

  constructor(startMs: number) {
    this.startMs = startMs;
  }

  record(finished: FinishedRequest): void {
    this.#ended += 1;
    if (finished.isDraining) this.#draining += 1;
    if (finished.outcome === "answered") {
      recordLatency(this.#answered, finished.latencyMs);
    }
    if (finished.headroom !== undefined) {
      this.#minHeadroom = Math.min(this.#minHeadroom ?? 1, finished.headroom);
    }
  }

  report(): IntervalReport {
    return {
      startMs: this.startMs,
      answered: computeSummary(this.#answered),
      ended: this.#ended,
      minHeadroom: this.#minHeadroom,
      draining: this.#draining,
    };
  }
}

function makeHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
}

function makeGroup(service: string, region: string): Group {
  return {
    service,
    region,
    answered: makeHistogram(),
    all: makeHistogram(),
    outcomes: new Map(),
  };
}

function recordInGroup(group: Group, finished: FinishedRequest): void {
  const { outcome, reason, latencyMs } = finished;
  const name = reason === "" ? outcome : `${outcome} ${reason}`;
  group.outcomes.set(name, (group.outcomes.get(name) ?? 0) + 1);
  recordLatency(group.all, latencyMs);
  if (outcome === "answered") recordLatency(group.answered, latencyMs);
}

function recordLatency(histogram: Histogram, latencyMs: number): void {
  const micros = Math.max(Math.round(latencyMs * 1_000), 1);
  histogram.recordValue(Math.min(micros, MAX_LATENCY_US));
}

function reportGroup(group: Group): GroupReport {
  return {
    service: group.service,
    region: group.region,
    answered: computeSummary(group.answered),
    all: computeSummary(group.all),
    outcomes: Object.fromEntries(
      [...group.outcomes].toSorted(([a], [b]) => a < b ? -1 : 1),
    ),
  };
}

function computeSummary(histogram: Histogram): LatencySummary {
  const at = (percentile: number) =>
    histogram.totalCount === 0
      ? 0
      : histogram.getValueAtPercentile(percentile) / 1_000;
  return {
    count: histogram.totalCount,
    p50: at(50),
    p90: at(90),
    p99: at(99),
    p999: at(99.9),
    max: at(100),
  };
}
