/**
 * Dispatcher of a target group.
 *
 * @module
 */

import { applyEvent } from "@dotterelmoor/core.types";
import type { EventHandlers, Priority } from "@dotterelmoor/core.types";
import {
  computeClassWaitMs,
  computeSendEndMs,
  MIN_SEND_MS,
  recordServiceTime,
} from "./group_state.ts";
import type { GroupState, Turn } from "./group_state.ts";
import { RequestQueue } from "./request_queue.ts";
import { hasStaleReservation, sendQueue } from "./sending.ts";
import { ServerTable } from "./server_table.ts";
import { refuseExcess, refuseUnsendable } from "./shedding.ts";
import { SlotLedger } from "./slot_ledger.ts";
import type { InFlightRequest } from "./slot_ledger.ts";
import type {
  DispatchAction,
  Dispatcher,
  DispatcherOptions,
  DispatchEvent,
  DispatchRequest,
  FinishResult,
  ServerView,
} from "./types.ts";

type FinishHandler = (
  flight: InFlightRequest,
  draining: boolean,
  turn: Turn,
) => void;

/** Creates the dispatcher of one target group. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  return new GroupDispatcher(makeState(options));
}

function makeState(settings: DispatcherOptions): GroupState {
  const options = {
    transitMs: 200,
    cancelGraceMs: 500,
    maxTries: 3,
    refusalPauseMs: 50,
    answersPerSlot: 4,
    initialServiceMs: 50,
    ...settings,
  };
  const { random, answersPerSlot } = options;
  const ledger = new SlotLedger();
  return {
    options,
    ledger,
    queue: new RequestQueue(MIN_SEND_MS),
    servers: new ServerTable({ ledger, random, answersPerSlot }),
    authorityUntilMs: -Infinity,
    concurrency: options.concurrency,
    queueLimit: options.queueLength,
    serviceMs: options.initialServiceMs,
    closed: false,
    reservation: undefined,
  };
}

class GroupDispatcher implements Dispatcher {
  readonly #state: GroupState;
  #idleReported = false;
  #nowMs = -Infinity;

  readonly #handlers: EventHandlers<DispatchEvent, void, Turn> = {
    servers: ({ servers }) => this.#state.servers.setServers(servers),
    server_state: ({ server, source, state }) =>
      this.#state.servers.applyReport(server, source, state),
    operator_drains: ({ instances }) =>
      this.#state.servers.setOperatorDrains(instances),
    submit: ({ request }) => this.#submit(request),
    cancel: ({ id }, turn) => this.#cancel(id, turn),
    finish: ({ id, result, draining }, turn) => {
      const flight = this.#state.ledger.get(id);
      if (flight !== undefined) this.#results[result](flight, draining, turn);
    },
    authority: ({ untilMs }) => {
      this.#state.authorityUntilMs = untilMs;
    },
    limits: ({ concurrency, queueLength }) => {
      this.#state.concurrency = concurrency;
      this.#state.queueLimit = queueLength;
    },
    close: () => {
      this.#state.closed = true;
      this.#idleReported = false;
    },
    open: () => {
      this.#state.closed = false;
    },
    tick: () => {},
  };

  readonly #results: Readonly<Record<FinishResult, FinishHandler>> = {
    answered: (flight, draining, { nowMs }) => {
      this.#state.ledger.release(flight.request.id);
      recordServiceTime(this.#state, nowMs - flight.sentAtMs);
      this.#state.servers.recordAnswer(flight.server);
      if (draining) this.#markDraining(flight.server);
    },
    refused: (flight, draining, { nowMs }) => {
      this.#state.ledger.release(flight.request.id);
      const pausedUntilMs = nowMs + this.#state.options.refusalPauseMs;
      if (draining) this.#markDraining(flight.server);
      else this.#state.servers.recordRefusal(flight.server, pausedUntilMs);
      this.#retryOnOtherServer(flight);
    },
    connection_refused: (flight) => {
      this.#state.ledger.release(flight.request.id);
      this.#state.servers.recordConnectionRefused(flight.server);
      this.#retryOnOtherServer(flight);
    },
    timed_out: (flight, _draining, { nowMs }) => {
      this.#state.ledger.hold(flight.request.id, flight.slotUntilMs);
      this.#recordTimeout(flight, nowMs);
    },
    connection_lost: (flight) => {
      // Only the connection broke; the server may still run the request.
      this.#state.ledger.hold(flight.request.id, flight.slotUntilMs);
    },
  };

  constructor(state: GroupState) {
    this.#state = state;
  }

  get inFlight(): number {
    return this.#state.ledger.total;
  }

  get queueLength(): number {
    return this.#state.queue.length;
  }

  get closed(): boolean {
    return this.#state.closed;
  }

  getServiceMs(): number {
    return this.#state.serviceMs;
  }

  getExpectedWaitMs(priority: Priority): number {
    return computeClassWaitMs(this.#state, priority);
  }

  listServers(nowMs: number): ServerView[] {
    return this.#state.servers.list(nowMs);
  }

  nextWakeMs(): number | undefined {
    const { ledger, queue, servers } = this.#state;
    const times = [ledger.findNextExpiryMs()];
    if (queue.length > 0) {
      times.push(
        computeSendEndMs(this.#state),
        queue.earliestDueMs,
        servers.findNextPauseEndMs(this.#nowMs),
      );
    }
    const next = Math.min(...times);
    return next === Infinity ? undefined : next;
  }

  handle(event: DispatchEvent, nowMs: number): DispatchAction[] {
    const turn: Turn = { nowMs, actions: [] };
    this.#nowMs = nowMs;
    this.#expireSlots(turn);
    applyEvent(this.#handlers, event, turn);
    refuseUnsendable(this.#state, turn);
    sendQueue(this.#state, turn);
    if (event.type !== "finish") {
      refuseExcess(this.#state, turn);
      // A server reserved for a request that was just shed is free again.
      if (hasStaleReservation(this.#state)) sendQueue(this.#state, turn);
    }
    this.#reportIdle(turn);
    return turn.actions;
  }

  #submit(request: DispatchRequest): void {
    const { queue, ledger } = this.#state;
    if (queue.has(request.id) || ledger.get(request.id) !== undefined) {
      throw new Error(`Request ${request.id} is queued or in flight already`);
    }
    queue.add({ request, tries: 0 });
  }

  #cancel(id: string, turn: Turn): void {
    const { queue, ledger, options } = this.#state;
    if (queue.remove(id) !== undefined) return;
    const flight = ledger.get(id);
    if (flight === undefined) return;
    const endMs = turn.nowMs + options.cancelGraceMs;
    ledger.hold(id, Math.min(endMs, flight.slotUntilMs));
    turn.actions.push({ type: "abort", id, server: flight.server });
  }

  #markDraining(server: string): void {
    this.#state.servers.applyReport(server, "refusal", "draining");
  }

  #recordTimeout(flight: InFlightRequest, nowMs: number): void {
    // A deadline below the usual service time does not indicate a stuck server.
    if (flight.deadlineMs >= this.#state.serviceMs) {
      this.#state.servers.recordTimeout(flight.server);
    }
    recordServiceTime(this.#state, nowMs - flight.sentAtMs);
  }

  /** Requeues a request that certainly did not run at the head of its class. */
  #retryOnOtherServer(flight: InFlightRequest): void {
    const { request, server, tries } = flight;
    const avoid = [...request.avoid, server];
    this.#state.queue.addFirst({ request: { ...request, avoid }, tries });
  }

  #expireSlots(turn: Turn): void {
    const { ledger } = this.#state;
    for (const { flight, reported } of ledger.expire(turn.nowMs)) {
      if (reported) continue;
      this.#recordTimeout(flight, turn.nowMs);
      const { request, server } = flight;
      turn.actions.push({ type: "expire_in_flight", id: request.id, server });
    }
  }

  #reportIdle(turn: Turn): void {
    if (!this.#state.closed || this.#idleReported) return;
    if (this.#state.ledger.total > 0) return;
    this.#idleReported = true;
    turn.actions.push({ type: "idle" });
  }
}
