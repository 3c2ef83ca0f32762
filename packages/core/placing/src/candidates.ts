/**
 * Estimates when a server would answer a request, and the cost of sending it
 * there.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { getObjectKey } from "./object_key.ts";
import type { ServerLoad } from "./server_load.ts";
import type { PlaceRequest } from "./types.ts";
import type { WorkModel } from "./work_model.ts";

/** Round trip in milliseconds to a server of the home region and of another
 * region; one way takes 0.5 ms and 35 ms. */
const HOME_RTT_MS = 2;
const REMOTE_RTT_MS = 71;

/** Expected loss at a server that fails every request, as a multiple of the
 * target latency. */
const FAILURE_COST_RATIO = 1.5;

/** Cost of a cold run at a fully busy server, as a multiple of its extra run
 * time: it takes slots from requests that are warm there. */
const COLD_COST_RATIO = 1;

/** Remaining time until the first run ends at a full server, in mean run times
 * divided by its slots. */
const RESIDUAL_RUNS = 0.5;

/** A server that could run a request. */
export interface Candidate {
  readonly server: TrackedServer;
  readonly load: ServerLoad;
  /** Position of the server in the object's preference order, from 0. */
  readonly rank: number;
  /** Expected time in milliseconds until the answer. */
  readonly expectedMs: number;
  /** `expectedMs` plus the expected cost of failures and cold runs. */
  readonly costMs: number;
}

/** Inputs of `computeCandidate`. */
export interface EstimateInputs {
  readonly server: TrackedServer;
  readonly load: ServerLoad;
  /** Position of the server in the object's preference order, from 0. */
  readonly rank: number;
  readonly homeRegion: string;
  readonly work: WorkModel;
  /** Average run time in milliseconds of the service's requests. */
  readonly meanRunMs: number;
}

/** Estimates the time and cost of sending a request to one server. */
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
  // Runs without an object are neither warm nor cold.
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

/** Assumes that an object is warm at the first server of its order, and at
 * servers that this entry recently sent it to. */
function isWarm(
  { load, rank }: EstimateInputs,
  key: string,
  nowMs: number,
): boolean {
  return rank === 0 || load.isWarm(key, nowMs);
}

/** Returns the round trip in milliseconds to a server. */
export function getRttMs(server: TrackedServer, homeRegion: string): number {
  return server.region === homeRegion ? HOME_RTT_MS : REMOTE_RTT_MS;
}

/** True if a server is still cold after a start, or may have restarted without
 * a report. */
export function isCold(
  target: { readonly server: TrackedServer; readonly load: ServerLoad },
  nowMs: number,
): boolean {
  return nowMs < target.server.coldUntilMs ||
    target.load.mayHaveRestarted(nowMs);
}
