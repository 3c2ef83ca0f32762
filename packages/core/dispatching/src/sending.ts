/**
 * Sends waiting requests to free slots.
 *
 * @module
 */

import { AUTHORITY_MARGIN_MS } from "./group_state.ts";
import type { GroupState, Turn } from "./group_state.ts";
import type { QueuedRequest } from "./request_queue.ts";

/** Sends requests in queue order until no slot is free. */
export function sendQueue(state: GroupState, turn: Turn): void {
  if (hasStaleReservation(state)) state.reservation = undefined;
  for (const queued of state.queue.list()) {
    if (state.ledger.total >= state.concurrency) return;
    const { request } = queued;
    const reserved = state.reservation;
    const server = state.servers.choose(request, {
      nowMs: turn.nowMs,
      reserved: reserved?.id === request.id ? undefined : reserved?.server,
    });
    if (server !== undefined) {
      send(state, turn, { queued, server });
    } else if (request.exclusive) {
      addReservation(state, queued);
    } else if (request.avoid.length === 0) {
      // Requests with more restrictions would find no slot either.
      return;
    }
  }
}

function send(
  state: GroupState,
  turn: Turn,
  choice: { queued: QueuedRequest; server: { id: string; address: string } },
): void {
  const { queued, server } = choice;
  const { request } = queued;
  const endMs = Math.min(
    request.deadlineAtMs,
    state.authorityUntilMs - AUTHORITY_MARGIN_MS,
  );
  const deadlineMs = Math.floor(endMs - turn.nowMs);
  state.queue.remove(request.id);
  if (state.reservation?.id === request.id) state.reservation = undefined;
  state.ledger.add({
    request,
    server: server.id,
    tries: queued.tries + 1,
    sentAtMs: turn.nowMs,
    deadlineMs,
    slotUntilMs: turn.nowMs + deadlineMs + state.options.transitMs,
  });
  turn.actions.push({
    type: "send",
    id: request.id,
    server: server.id,
    address: server.address,
    deadlineMs,
  });
}

/** Reserves a server, as an exclusive request may otherwise wait forever. */
function addReservation(state: GroupState, queued: QueuedRequest): void {
  if (state.reservation !== undefined) return;
  const server = state.servers.chooseReserved(queued.request);
  if (server === undefined) return;
  state.reservation = { id: queued.request.id, server };
}

/**
 * Returns true if the reserved server is no longer eligible or its request no
 * longer waits.
 */
export function hasStaleReservation(state: GroupState): boolean {
  if (state.reservation === undefined) return false;
  const { id, server } = state.reservation;
  return !state.queue.has(id) || !state.servers.isEligible(server);
}
