/**
 * Runs an open-loop load and reports the result.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { setTimeout as wait } from "node:timers/promises";
import { createArrivals } from "./arrivals.ts";
import type { Arrival } from "./arrivals.ts";
import type { Mix } from "./mix.ts";
import type { RequestOutcome } from "./outcomes.ts";
import { Recorder } from "./recorder.ts";
import type { GroupReport, IntervalReport } from "./recorder.ts";

/** Options of `runLoad`. */
export interface RunOptions {
  readonly mix: Mix;
  readonly seed: number;
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly maxRequests: number;
  /** Maximum requests in flight; others fail unsent as `client-limit`. */
  readonly maxInFlight: number;
  readonly intervalMs: number;
  /** Requests meant to start before this time are sent but not reported. */
  readonly warmupMs?: number;
  /** Sends one request; must not throw or reject. */
  readonly send: (arrival: Arrival) => Promise<RequestOutcome>;
  /** Ends the run early, once the requests in flight have finished. */
  readonly signal?: AbortSignal;
}

/** Result of a run. */
export interface RunReport {
  readonly seed: number;
  readonly ratePerSecond: number;
  /** Milliseconds from the start until the last request ended. */
  readonly elapsedMs: number;
  readonly sent: number;
  readonly intervalMs: number;
  readonly total: GroupReport;
  readonly groups: readonly GroupReport[];
  readonly intervals: readonly IntervalReport[];
}

const NOT_SENT: RequestOutcome = {
  outcome: "failed",
  reason: "client-limit",
  isDraining: false,
};

/** Sends each request at its intended time, regardless of earlier responses. */
export async function runLoad(options: RunOptions): Promise<RunReport> {
  const recorder = new Recorder(options.intervalMs);
  const startedAt = performance.now();
  const inFlight = new Set<Promise<void>>();
  let sent = 0;
  for (const arrival of createArrivals({ ...options, ...options.mix })) {
    const leadMs = startedAt + arrival.atMs - performance.now();
    if (leadMs > 0) await wait(leadMs);
    if (options.signal?.aborted) break;
    const isFull = inFlight.size >= options.maxInFlight;
    const outcome = isFull ? Promise.resolve(NOT_SENT) : options.send(arrival);
    if (!isFull) sent += 1;
    const finished = outcome.then((result) => {
      inFlight.delete(finished);
      if (arrival.atMs < (options.warmupMs ?? 0)) return;
      const endedAtMs = performance.now() - startedAt;
      const { service, region } = arrival.request;
      const latencyMs = endedAtMs - arrival.atMs;
      recorder.record({ ...result, service, region, latencyMs, endedAtMs });
    });
    inFlight.add(finished);
  }
  await Promise.all(inFlight);
  return {
    seed: options.seed,
    ratePerSecond: options.ratePerSecond,
    elapsedMs: performance.now() - startedAt,
    sent,
    intervalMs: options.intervalMs,
    ...recorder.report(),
  };
}
