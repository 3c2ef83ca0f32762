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

/**
 * Retry delay of refusals that a shorter queue would not avoid; about the
 * interval at which health is polled and the authority renewed.
 */
const RECOVERY_MS = 500;

/** Refuses every waiting request that cannot be sent in the current state. */
export function refuseUnsendable(state: GroupState, turn: Turn): void {
  const reason = findGroupReason(state, turn.nowMs);
  if (reason !== undefined) {
    for (const queued of state.queue.list()) {
      refuse(state, turn, { queued, reason });
    }
    return;
  }
  for (const queued of state.queue.takeDue(turn.nowMs)) {
    const reason = findLateReason(queued, turn.nowMs + MIN_SEND_MS);
    refuse(state, turn, { queued, reason });
  }
  const eligible = state.servers.listEligible();
  const { queue } = state;
  const restricted = eligible.length > 0
    ? queue.listRestricted()
    : queue.list();
  for (const queued of restricted) {
    const { avoid } = queued.request;
    const exhausted = queued.tries >= state.options.maxTries;
    if (exhausted || eligible.every((id) => avoid.includes(id))) {
      const reason = queued.tries > 0 ? "server-refused" : "no-server";
      refuse(state, turn, { queued, reason });
    }
  }
}

/**
 * Refuses requests from the end of the lowest class while the queue is too
 * long, then every request whose expected wait exceeds its deadline. Higher
 * classes are sent first, so lower classes exceed their deadlines first.
 */
export function refuseExcess(state: GroupState, turn: Turn): void {
  while (state.queue.length > state.queueLimit) {
    const queued = state.queue.findLast()!;
    refuse(state, turn, { queued, reason: "queue-full" });
  }
  const slotMs = state.serviceMs / computeUsable(state);
  let waitMs = slotMs;
  for (const queued of state.queue.list()) {
    const { deadlineAtMs, sendByMs = Infinity } = queued.request;
    const sendMs = turn.nowMs + waitMs;
    if (sendMs > Math.min(deadlineAtMs, sendByMs)) {
      const reason = findLateReason(queued, sendMs);
      refuse(state, turn, { queued, reason });
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

/** Returns why a request cannot be sent at the given time. */
function findLateReason(
  { request }: QueuedRequest,
  timeMs: number,
): NotRunReason {
  return request.deadlineAtMs <= timeMs ? "deadline-too-short" : "shift-cap";
}

function refuse(
  state: GroupState,
  turn: Turn,
  refusal: { queued: QueuedRequest; reason: NotRunReason },
): void {
  const { queued, reason } = refusal;
  const { id } = queued.request;
  const usable = Math.max(computeUsable(state), 1);
  const waiting = Math.max(state.queue.length, usable);
  const retryAfterMs = RETRY_AFTER_QUEUE.has(reason)
    ? Math.ceil(waiting * state.serviceMs / usable)
    : RECOVERY_MS;
  state.queue.remove(id);
  addRefusal(turn, id, { reason, retryAfterMs });
}

/** Reasons for which a retry makes sense once the queue is shorter. */
const RETRY_AFTER_QUEUE: ReadonlySet<NotRunReason> = new Set([
  "deadline-too-short",
  "queue-full",
  "shift-cap",
]);
