/**
 * State of a group that the steps of the dispatcher share.
 *
 * @module
 */

import type { NotRunReason, Priority } from "@dotterelmoor/core.types";
import type { RequestQueue } from "./request_queue.ts";
import type { ServerTable } from "./server_table.ts";
import type { SlotLedger } from "./slot_ledger.ts";
import type { DispatchAction, DispatcherOptions } from "./types.ts";

/** Time before the end of the authority at which servers stop work (D4). */
export const AUTHORITY_MARGIN_MS = 200;

/** Remaining time below which a request is not sent any more. */
export const MIN_SEND_MS = 5;

/** Weight of a new sample in the smoothed service time. */
const SERVICE_WEIGHT = 0.05;

/** Bound on the authority that a send needs, for services that take long. */
const MAX_NEEDED_AUTHORITY_MS = 500;

/** Parts and counters of one group. */
export interface GroupState {
  readonly options: Required<DispatcherOptions>;
  readonly ledger: SlotLedger;
  readonly queue: RequestQueue;
  readonly servers: ServerTable;
  authorityUntilMs: number;
  concurrency: number;
  queueLimit: number;
  serviceMs: number;
  closed: boolean;
  /** Server that is kept free for a waiting exclusive request. */
  reservation: { readonly id: string; readonly server: string } | undefined;
}

/** One call of `handle`. */
export interface Turn {
  readonly nowMs: number;
  readonly actions: DispatchAction[];
}

/** Slots that the group may use when all of them are free. */
export function computeUsable(state: GroupState): number {
  return Math.min(state.concurrency, state.servers.computeAllowance());
}

/** Wait of a request with so many others before it in the queue. */
export function computeWaitMs(state: GroupState, ahead: number): number {
  const usable = computeUsable(state);
  if (usable <= 0) return Infinity;
  if (ahead === 0 && state.ledger.total < usable) return 0;
  return (ahead + 1) * state.serviceMs / usable;
}

/** Wait of a new request of the class. */
export function computeClassWaitMs(
  state: GroupState,
  priority: Priority,
): number {
  return computeWaitMs(state, state.queue.countAhead(priority));
}

/**
 * Time at which sending ends. Work that the authority would cut off before its
 * usual service time has passed ends as unknown, so it is not started.
 */
export function computeSendEndMs(state: GroupState): number {
  const neededMs = Math.min(2 * state.serviceMs, MAX_NEEDED_AUTHORITY_MS);
  return state.authorityUntilMs - AUTHORITY_MARGIN_MS -
    Math.max(neededMs, MIN_SEND_MS);
}

/** Records for how long a request used its slot. */
export function recordServiceTime(state: GroupState, sampleMs: number): void {
  state.serviceMs += SERVICE_WEIGHT * (sampleMs - state.serviceMs);
}

/** Refuses a request that is no longer queued. */
export function addRefusal(
  turn: Turn,
  id: string,
  refusal: { reason: NotRunReason; retryAfterMs: number },
): void {
  turn.actions.push({ type: "refuse", id, ...refusal });
}
