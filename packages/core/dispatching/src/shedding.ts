/**
 * Refuses waiting requests that cannot be served.
 *
 * @module
 */

import type { NotRunReason } from "@dotterelmoor/core.types";
import {
  addRefusal,
  computeSendEndMs,
  computeUsable,
  MIN_SEND_MS,
} from "./group_state.ts";
import type { GroupState, Turn } from "./group_state.ts";
import type { QueuedRequest } from "./request_queue.ts";

/** Health is polled and the authority renewed about this often. */
const RECOVERY_MS = 500;

/** Refuses every request that cannot be sent in the present state. */
export function refuseLost(state: GroupState, turn: Turn): void {
  const reason = findGroupReason(state, turn.nowMs);
  if (reason !== undefined) {
    for (const queued of state.queue.list()) {
      refuse(state, turn, { queued, reason });
    }
    return;
  }
  for (const queued of state.queue.takeDue(turn.nowMs, MIN_SEND_MS)) {
    refuse(state, turn, { queued, reason: "deadline-too-short" });
  }
  const eligible = state.servers.listEligible();
  for (const queued of state.queue.list()) {
    const { avoid } = queued.request;
    const exhausted = queued.tries >= state.options.maxTries;
    if (exhausted || eligible.every((id) => avoid.includes(id))) {
      const reason = queued.tries > 0 ? "server-refused" : "no-server";
      refuse(state, turn, { queued, reason });
    }
  }
}

/**
 * Sheds from the end of the lowest class while the queue is too long, and every
 * request whose expected wait exceeds its deadline. Higher classes are sent
 * first, so the wait of lower classes exceeds the deadline first.
 */
export function shedQueue(state: GroupState, turn: Turn): void {
  while (state.queue.length > state.queueLimit) {
    const queued = state.queue.findLast()!;
    refuse(state, turn, { queued, reason: "queue-full" });
  }
  const slotMs = state.serviceMs / computeUsable(state);
  let waitMs = slotMs;
  for (const queued of state.queue.list()) {
    if (turn.nowMs + waitMs > queued.request.deadlineAtMs) {
      refuse(state, turn, { queued, reason: "deadline-too-short" });
    } else {
      waitMs += slotMs;
    }
  }
}

function findGroupReason(
  state: GroupState,
  nowMs: number,
): NotRunReason | undefined {
  if (state.closed) return "closing";
  if (computeSendEndMs(state) <= nowMs) return "authority-lapsed";
  return undefined;
}

function refuse(
  state: GroupState,
  turn: Turn,
  refusal: { queued: QueuedRequest; reason: NotRunReason },
): void {
  const { queued, reason } = refusal;
  const { id } = queued.request;
  const usable = Math.max(computeUsable(state), 1);
  const drainMs = state.queue.length * state.serviceMs / usable;
  const retryAfterMs = RETRY_AFTER_QUEUE.has(reason)
    ? Math.ceil(drainMs)
    : RECOVERY_MS;
  state.queue.remove(id);
  addRefusal(turn, id, { reason, retryAfterMs });
}

/** Reasons after which another attempt makes sense once the queue is shorter. */
const RETRY_AFTER_QUEUE: ReadonlySet<NotRunReason> = new Set([
  "deadline-too-short",
  "queue-full",
]);
