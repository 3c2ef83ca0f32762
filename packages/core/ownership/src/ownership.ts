/**
 * Session lease, group ownership and deputy promises as one state machine.
 *
 * @module
 */

import { applyEvent, type EventHandlers } from "@dotterelmoor/core.types";
import { Candidate } from "./candidate.ts";
import { Departures } from "./departures.ts";
import { Handover } from "./handover.ts";
import { HeldResources, type OwnershipContext } from "./held_resources.ts";
import { Operations } from "./operations.ts";
import { StaleSessionRemover } from "./stale_sessions.ts";
import { Rebalancing } from "./rebalancing.ts";
import { decodeResource, decodeSession, getSessionKey } from "./rows.ts";
import { Session, type SessionListener } from "./session.ts";
import type {
  Ownership,
  OwnershipAction,
  OwnershipEvent,
  OwnershipMember,
  OwnershipOptions,
  OwnershipStatus,
  OwnershipTimings,
  ResourceOwner,
} from "./types.ts";
import { Views } from "./views.ts";

/** Default durations: lease 10 s, takeover after 11 s. */
const DEFAULT_TIMINGS: OwnershipTimings = {
  renewMs: 2_000,
  leaseMs: 10_000,
  takeoverMs: 11_000,
  observeMs: 1_000,
  rebalanceMs: 10_000,
  settleMs: 30_000,
};

/** Creates the ownership state machine of one process. */
export function createOwnership(options: OwnershipOptions): Ownership {
  return new OwnershipMachine(options);
}

class OwnershipMachine implements Ownership {
  readonly #instance: string;
  readonly #session: Session;
  readonly #views: Views;
  readonly #operations: Operations;
  readonly #heldResources: HeldResources;
  readonly #candidate: Candidate;
  readonly #handover: Handover;
  readonly #rebalancing: Rebalancing;
  readonly #departures = new Departures();
  readonly #emit = (action: OwnershipAction) => void this.#actions.push(action);
  #actions: OwnershipAction[] = [];
  #members: readonly OwnershipMember[] | undefined;

  readonly #handlers: EventHandlers<OwnershipEvent, void> = {
    start: (_event, nowMs) => this.#session.start(nowMs),
    resources: (event) => this.#setResources(event.resources),
    members: (event, nowMs) => {
      this.#members = [...event.members];
      this.#rebalancing.setMembers(event.members, nowMs);
    },
    instances: (event, nowMs) => {
      this.#departures.update(event.ids, nowMs);
      if (event.ids.includes(this.#instance)) this.#session.markListed();
    },
    transacted: (event, nowMs) =>
      this.#operations.resolve(event.operationId, event.result, nowMs),
    rows_read: (event, nowMs) =>
      this.#operations.resolve(event.operationId, event.result, nowMs),
    promise_requested: (event, nowMs) =>
      this.#answerPromiseRequest(event, nowMs),
    promise_answered: (event) => this.#heldResources.handlePromiseAnswer(event),
    drained: (event, nowMs) => this.#handover.release(event.resource, nowMs),
    row_changed: (event, nowMs) => this.#candidate.read(event.resource, nowMs),
    leave: () => this.#leave(),
    tick: (_event, nowMs) => this.#runTick(nowMs),
  };

  constructor(options: OwnershipOptions) {
    const { identity, random } = options;
    const timings = { ...DEFAULT_TIMINGS, ...options.timings };
    const emit = this.#emit;
    this.#instance = identity.instance;
    this.#operations = new Operations(emit);
    const staleSessions = new StaleSessionRemover({
      identity,
      timings,
      operations: this.#operations,
    });
    this.#views = new Views(
      this.#operations,
      random,
      (key, view, sentAtMs) => {
        this.#heldResources.applyRow(key, view, sentAtMs);
        staleSessions.applyRow(key, view);
      },
    );
    this.#session = new Session({
      identity,
      timings,
      operations: this.#operations,
      listener: this.#makeListener(),
    });
    const context: OwnershipContext = {
      identity,
      timings,
      session: this.#session,
      operations: this.#operations,
      views: this.#views,
      emit,
      members: () => this.#members ?? [],
      hasMembers: () => this.#members !== undefined,
    };
    this.#heldResources = new HeldResources(context);
    this.#handover = new Handover(context, this.#heldResources);
    this.#candidate = new Candidate(context, {
      heldResources: this.#heldResources,
      departures: this.#departures,
      handover: this.#handover,
    });
    this.#rebalancing = new Rebalancing(context, {
      heldResources: this.#heldResources,
      handover: this.#handover,
      resources: () => this.#candidate.resources,
    });
  }

  #makeListener(): SessionListener {
    const emit = this.#emit;
    return {
      started: (incarnation, isRejoin) =>
        emit({ type: isRejoin ? "rejoined" : "session_started", incarnation }),
      revoked: (nowMs) => this.#handleRevocation(nowMs),
      left: () => emit({ type: "left" }),
    };
  }

  handle(event: OwnershipEvent, nowMs: number): OwnershipAction[] {
    // Expire authority first, so that no queued event can restore it.
    this.#expire(nowMs);
    applyEvent(this.#handlers, event, nowMs);
    this.#advance(nowMs);
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  authorityUntilMs(resource: string, nowMs: number): number {
    return this.#heldResources.authorityUntilMs(resource, nowMs);
  }

  incarnation(): number {
    return this.#session.incarnation;
  }

  owned(): string[] {
    return this.#heldResources.list().map(({ resource }) => resource);
  }

  getOwner(resource: string): ResourceOwner | undefined {
    const view = this.#views.get(resource);
    if (view === undefined || view.version === 0) return undefined;
    const row = decodeResource(view.value);
    const session = this.#views.get(getSessionKey(row.owner));
    const address = decodeSession(session?.value ?? null)?.address;
    return address === undefined ? row : { ...row, address };
  }

  status(): OwnershipStatus {
    return {
      phase: this.#session.phase,
      incarnation: this.#session.incarnation,
      leaseUntilMs: this.#session.leaseUntilMs,
      resources: this.#candidate.resources.map((resource) => ({
        ...this.getOwner(resource) ?? { owner: 0, deputy: 0, fence: 0 },
        resource,
        held: this.#heldResources.has(resource),
      })),
    };
  }

  #advance(nowMs: number): void {
    this.#operations.expire(nowMs);
    this.#expire(nowMs);
    this.#session.update(nowMs);
    this.#handover.update(nowMs);
  }

  /** Makes the decisions that iterate over all members, at ticks only. */
  #runTick(nowMs: number): void {
    if (this.#session.phase === "left") return;
    this.#candidate.observe(nowMs);
    this.#candidate.take(nowMs);
    this.#heldResources.update(nowMs);
    this.#rebalancing.update(nowMs);
  }

  /** Restarts the session once all authority and the lease have lapsed. */
  #expire(nowMs: number): void {
    if (!this.#heldResources.expire(nowMs)) return;
    const { leaseUntilMs, phase } = this.#session;
    const hasLapsed = this.#heldResources.list().length === 0 &&
      leaseUntilMs <= nowMs;
    if (hasLapsed && phase === "live") this.#session.restart(nowMs);
  }

  /**
   * Closes all resources after the session was revoked. Requests sent under a
   * promise may run until it ends, so the session row stays until then.
   */
  #handleRevocation(nowMs: number): void {
    const untilMs = Math.max(
      nowMs,
      this.#heldResources.computeLastAuthorityMs(),
    );
    for (const { resource } of this.#heldResources.list()) {
      this.#heldResources.close(resource, "session-revoked");
    }
    this.#handover.cancelAll(untilMs);
    if (this.#session.phase === "live") this.#session.restart(untilMs);
  }

  #setResources(resources: readonly string[]): void {
    this.#candidate.setResources(resources);
    for (const { resource } of this.#heldResources.list()) {
      if (!resources.includes(resource)) {
        this.#heldResources.close(resource, "not-configured");
      }
    }
  }

  #answerPromiseRequest(
    event: Extract<OwnershipEvent, { type: "promise_requested" }>,
    nowMs: number,
  ): void {
    const { from, resource, fence, requestId } = event;
    const granted = this.#candidate.answerPromiseRequest(event, nowMs);
    this.#emit({
      type: "answer_promise",
      to: from,
      resource,
      fence,
      requestId,
      granted,
    });
  }

  #leave(): void {
    this.#session.leave();
    if (this.#session.phase === "leaving") this.#handover.start();
  }
}
