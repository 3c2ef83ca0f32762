/**
 * Estimates when a server would answer a request, and what that would cost.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { getObjectKey } from "./object_key.ts";
import type { ServerLoad } from "./server_load.ts";
import type { PlaceRequest } from "./types.ts";
import type { WorkModel } from "./work_model.ts";

/** Round trip in milliseconds to a server of the own region and of another
 * one, from the sizes of today: 0.5 ms and 35 ms one way. */
const HOME_RTT_MS = 2;
const REMOTE_RTT_MS = 71;

/** Time in milliseconds that a request is expected to lose at a server that
 * fails every request, as a multiple of the target latency. */
const FAILURE_COST_RATIO = 1.5;

/** Cost of a cold run at a busy server, as a multiple of the time that it runs
 * longer: it takes the slots from requests that are warm there. */
const COLD_COST_RATIO = 1;

/** What is left of the runs at a full server until the first one ends, in runs
 * divided by its slots. */
const RESIDUAL_RUNS = 0.5;

/** A server that could run a request. */
export interface Candidate {
  readonly server: TrackedServer;
  readonly load: ServerLoad;
  /** Place of the server in the object's order; 0 is the first. */
  readonly rank: number;
  /** Time in milliseconds until the answer is expected. */
  readonly expectedMs: number;
  /** The same with what failures and cold runs may cost. */
  readonly costMs: number;
}

/** What an estimate rests on. */
export interface EstimateInputs {
  readonly server: TrackedServer;
  readonly load: ServerLoad;
  /** Place of the server in the object's order; 0 is the first. */
  readonly rank: number;
  readonly homeRegion: string;
  readonly work: WorkModel;
  /** Average run time in milliseconds of the service's requests. */
  readonly meanRunMs: number;
}

/** Estimates the answer of one server. */
export function computeCandidate(
  inputs: EstimateInputs,
  request: PlaceRequest,
  nowMs: number,
): Candidate {
  const { server, load, rank, work, meanRunMs, homeRegion } = inputs;
  const { slots } = server.record;
  const busy = load.estimateLoad(nowMs);
  const waiting = Math.max(0, busy - slots + RESIDUAL_RUNS);
  const waitMs = waiting / slots * meanRunMs;
  const key = getObjectKey(request);
  const coldPenaltyMs = key === undefined || isWarm(inputs, key, nowMs)
    ? 0
    : work.coldMs - work.warmMs;
  // Without an object, runs are neither warm nor cold.
  const runMs = key === undefined ? work.meanMs : work.warmMs + coldPenaltyMs;
  const expectedMs = getRttMs(server, homeRegion) +
    (waitMs + runMs) * load.getSlowness(nowMs);
  const failureMs = load.getFailureShare(nowMs) * FAILURE_COST_RATIO *
    request.targetLatencyMs;
  const slotCostMs = coldPenaltyMs * COLD_COST_RATIO * busy / slots;
  const startupMs = isCold({ server, load }, nowMs) ? work.coldMs : 0;
  const costMs = expectedMs + failureMs + slotCostMs + startupMs;
  return { server, load, rank, expectedMs, costMs };
}

/** The first server of its order keeps an object warm, and one that this entry
 * sent it to lately. */
function isWarm(
  { load, rank }: EstimateInputs,
  key: string,
  nowMs: number,
): boolean {
  return rank === 0 || load.isWarm(key, nowMs);
}

/** Round trip in milliseconds to a server. */
export function getRttMs(server: TrackedServer, homeRegion: string): number {
  return server.region === homeRegion ? HOME_RTT_MS : REMOTE_RTT_MS;
}

/** Tells whether a server has just started, or may have without a report. */
export function isCold(
  target: { readonly server: TrackedServer; readonly load: ServerLoad },
  nowMs: number,
): boolean {
  return nowMs < target.server.coldUntilMs ||
    target.load.mayHaveRestarted(nowMs);
}
