/**
 * State of a group that the parts of the dispatcher share.
 *
 * @module
 */

import type { NotRunReason, Priority } from "@dotterelmoor/core.types";
import type { RequestQueue } from "./request_queue.ts";
import type { ServerTable } from "./server_table.ts";
import type { SlotLedger } from "./slot_ledger.ts";
import type { DispatchAction, DispatcherOptions } from "./types.ts";

/**
 * Servers must have stopped work this long before the authority ends (design
 * page, D4).
 */
export const AUTHORITY_MARGIN_MS = 200;

/** Remaining time below which a request is no longer sent. */
export const MIN_SEND_MS = 5;

/** Weight of a new sample in the smoothed service time. */
const SERVICE_WEIGHT = 0.05;

/** Maximum authority that a send requires, however slow the service is. */
const MAX_NEEDED_AUTHORITY_MS = 500;

/** State of one group. */
export interface GroupState {
  readonly options: Required<DispatcherOptions>;
  readonly ledger: SlotLedger;
  readonly queue: RequestQueue;
  readonly servers: ServerTable;
  authorityUntilMs: number;
  concurrency: number;
  queueLimit: number;
  /** Smoothed time from send to answer. */
  serviceMs: number;
  closed: boolean;
  /** Server reserved for the waiting exclusive request with this id. */
  reservation: { readonly id: string; readonly server: string } | undefined;
}

/** Time and emitted actions of one call of `handle`. */
export interface Turn {
  readonly nowMs: number;
  readonly actions: DispatchAction[];
}

/** Computes how many slots the group may use in total. */
export function computeUsable(state: GroupState): number {
  return Math.min(state.concurrency, state.servers.computeAllowance());
}

/** Computes the wait of a request with the given number queued ahead of it. */
export function computeWaitMs(state: GroupState, ahead: number): number {
  const usable = computeUsable(state);
  if (usable <= 0) return Infinity;
  if (ahead === 0 && state.ledger.total < usable) return 0;
  return (ahead + 1) * state.serviceMs / usable;
}

/** Computes the wait of a new request of the priority class. */
export function computeClassWaitMs(
  state: GroupState,
  priority: Priority,
): number {
  return computeWaitMs(state, state.queue.countAhead(priority));
}

/**
 * Computes when sending must end. A request that the end of the authority would
 * cut off before the usual service time would end as unknown, so it is not
 * sent.
 */
export function computeSendEndMs(state: GroupState): number {
  const neededMs = Math.min(2 * state.serviceMs, MAX_NEEDED_AUTHORITY_MS);
  return state.authorityUntilMs - AUTHORITY_MARGIN_MS -
    Math.max(neededMs, MIN_SEND_MS);
}

/**
 * Updates the smoothed service time with the time for which a slot was used.
 */
export function recordServiceTime(state: GroupState, sampleMs: number): void {
  state.serviceMs += SERVICE_WEIGHT * (sampleMs - state.serviceMs);
}

/** Emits the refusal of a request that was removed from the queue. */
export function addRefusal(
  turn: Turn,
  id: string,
  refusal: { reason: NotRunReason; retryAfterMs: number },
): void {
  turn.actions.push({ type: "refuse", id, ...refusal });
}
