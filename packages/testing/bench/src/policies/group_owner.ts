/**
 * Owner of a group, with the dispatcher and the shift gate of the product.
 *
 * @module
 */

import { createDispatcher } from "@dotterelmoor/core.dispatching";
import type {
  DispatchAction,
  Dispatcher,
  DispatchEvent,
} from "@dotterelmoor/core.dispatching";
import { createShiftGate } from "@dotterelmoor/core.shifting";
import type { LimitControl } from "./limit_control.ts";
import type { ModelServer } from "./model_server.ts";
import {
  computeDelayMs,
  GROUP_RATE_PER_SECOND,
  GROUP_SLOTS,
  POLL_INTERVAL_MS,
} from "./world.ts";
import type {
  CallerResult,
  ModelEntry,
  ModelGroup,
  ModelRequest,
  World,
} from "./world.ts";

const LEASE_MS = 10_000;
const LEASE_RENEWAL_MS = 2_000;

/** Maximum number of requests that wait at a group, about a second of work. */
const MAX_QUEUE_LENGTH = 300;

/** Shift limits; at most a tenth of the group's rate may be shifted into it. */
const SHIFT_LIMITS = {
  cap: GROUP_RATE_PER_SECOND / 10,
  windowMs: 1_000,
  startShare: 0.25,
  stepShare: 0.25,
};

/** Maximum expected wait at which a group accepts more shifted work. */
const MAX_GOOD_WAIT_MS = 40;

interface PendingRequest {
  readonly request: ModelRequest;
  readonly receivedAtMs: number;
  readonly onEnd: (result: CallerResult) => void;
}

/** Options of `GroupOwner`. */
export interface GroupOwnerOptions {
  readonly world: World;
  readonly group: ModelGroup;
  readonly entry: ModelEntry;
  /** Adapts the limit on requests at the group; by default it is fixed. */
  readonly control?: LimitControl;
}

/** Drives the dispatcher of a group with the events of the simulation. */
export class GroupOwner {
  readonly entry: ModelEntry;
  readonly #options: GroupOwnerOptions;
  readonly #dispatcher: Dispatcher;
  readonly #pending = new Map<string, PendingRequest>();
  readonly #servers: ReadonlyMap<string, ModelServer>;
  readonly #shiftGate;
  #wakeAtMs = Infinity;
  #renewedAtMs = 0;

  constructor(options: GroupOwnerOptions) {
    const { world, group, entry } = options;
    const { nowMs } = world.clock;
    this.#options = options;
    this.entry = entry;
    this.#servers = new Map(
      group.servers.map((server) => [server.options.id, server]),
    );
    this.#shiftGate = createShiftGate({
      limits: SHIFT_LIMITS,
      startedAtMs: nowMs,
    });
    this.#dispatcher = createDispatcher({
      random: world.makeRandom(200 + world.groups.indexOf(group)),
      concurrency: GROUP_SLOTS,
      queueLength: MAX_QUEUE_LENGTH,
    });
    this.#renew();
    this.#poll();
    const phaseMs = nowMs % POLL_INTERVAL_MS + entry.pollPhaseMs;
    world.clock.runAfter(phaseMs % POLL_INTERVAL_MS, () => this.#pollAgain());
  }

  /** Virtual time at which a deputy may take over if the entry dies now. */
  get takeoverMs(): number {
    return this.#renewedAtMs + LEASE_MS + 1_000;
  }

  /** Submits a request that has reached the owner. */
  submit(
    request: ModelRequest,
    onEnd: (result: CallerResult) => void,
  ): void {
    const { clock, options } = this.#options.world;
    const { id } = request;
    this.#pending.set(id, { request, receivedAtMs: clock.nowMs, onEnd });
    const deadlineAtMs = request.atMs + options.deadlineMs;
    this.#handle({
      type: "submit",
      request: {
        id,
        priority: "normal",
        deadlineAtMs,
        exclusive: false,
        avoid: [],
      },
    });
  }

  /** Submits a request of another home region within the shift cap. */
  submitShifted(
    request: ModelRequest,
    onEnd: (result: CallerResult) => void,
  ): void {
    const { nowMs } = this.#options.world.clock;
    const event = { type: "admit", id: request.id } as const;
    const [action] = this.#shiftGate.handle(event, nowMs);
    if (action?.type === "admitted") this.submit(request, onEnd);
    else onEnd("refused");
  }

  #renew(): void {
    if (!this.entry.alive) return;
    const { clock } = this.#options.world;
    this.#renewedAtMs = clock.nowMs;
    this.#handle({ type: "authority", untilMs: clock.nowMs + LEASE_MS });
    clock.runAfter(LEASE_RENEWAL_MS, () => this.#renew());
  }

  #pollAgain(): void {
    if (!this.entry.alive) return;
    this.#poll();
    this.#options.world.clock.runAfter(
      POLL_INTERVAL_MS,
      () => this.#pollAgain(),
    );
  }

  #poll(): void {
    const { group, world, control } = this.#options;
    const { nowMs } = world.clock;
    const servers = group.servers.map((server) => ({
      id: server.options.id,
      address: server.options.id,
      slots: server.options.slots,
      state: server.leavingAtMs <= nowMs ? "leaving" as const : "live" as const,
    }));
    this.#handle({ type: "servers", servers });
    for (const server of group.servers) {
      this.#handle({
        type: "server_state",
        server: server.options.id,
        source: "health",
        state: server.isCold ? "cold" : "ok",
      });
    }
    const waitMs = this.#dispatcher.getExpectedWaitMs("normal");
    const condition = waitMs <= MAX_GOOD_WAIT_MS ? "good" : "bad";
    this.#shiftGate.handle({ type: "measurement", condition }, nowMs);
    if (control !== undefined) this.#setLimit(control.limit);
  }

  #setLimit(limit: number): void {
    const concurrency = Math.min(limit, GROUP_SLOTS);
    const queueLength = limit - concurrency;
    this.#handle({ type: "limits", concurrency, queueLength });
  }

  #handle(event: DispatchEvent): void {
    const { clock } = this.#options.world;
    for (const action of this.#dispatcher.handle(event, clock.nowMs)) {
      this.#apply(action);
    }
    const wakeAtMs = this.#dispatcher.nextWakeMs() ?? Infinity;
    if (wakeAtMs >= this.#wakeAtMs) return;
    this.#wakeAtMs = wakeAtMs;
    clock.runAt(Math.max(wakeAtMs, clock.nowMs), () => {
      if (this.#wakeAtMs !== wakeAtMs) return;
      this.#wakeAtMs = Infinity;
      if (this.entry.alive) this.#handle({ type: "tick" });
    });
  }

  #apply(action: DispatchAction): void {
    if (action.type === "send") this.#send(action);
    else if (action.type === "refuse") this.#end(action.id, "refused");
    else if (action.type === "expire_in_flight") this.#end(action.id, "failed");
  }

  #send(action: Extract<DispatchAction, { type: "send" }>): void {
    const { clock } = this.#options.world;
    const server = this.#servers.get(action.server)!;
    const delayMs = computeDelayMs(this.entry, server.options);
    const { serviceMs } = this.#pending.get(action.id)!.request;
    clock.runAfter(delayMs, () =>
      server.start({
        serviceMs,
        deadlineMs: action.deadlineMs,
        onEnd: (result) =>
          clock.runAfter(delayMs, () => this.#finish(action.id, result)),
      }));
  }

  #finish(id: string, result: "answered" | "timed_out"): void {
    const pending = this.#pending.get(id);
    if (!this.entry.alive || pending === undefined) return;
    const { control, world } = this.#options;
    if (control !== undefined) {
      control.recordResponse(world.clock.nowMs - pending.receivedAtMs);
      this.#setLimit(control.limit);
    }
    this.#end(id, result === "answered" ? "answered" : "failed");
    this.#handle({ type: "finish", id, result, draining: false });
  }

  #end(id: string, result: CallerResult): void {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    if (this.entry.alive) pending?.onEnd(result);
  }
}
