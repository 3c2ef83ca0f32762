/**
 * Owner role: authority, deputies and received promises of held resources.
 *
 * @module
 */

import { chooseDeputy } from "./deputies.ts";
import {
  computeAuthority,
  computePromisedAuthority,
  computeStoreAuthority,
  type Holding,
  makeHolding,
} from "./holdings.ts";
import type { Operations } from "./operations.ts";
import {
  buildReplacement,
  decodeResource,
  encodeRow,
  getSessionKey,
  type ResourceRow,
} from "./rows.ts";
import type { Session } from "./session.ts";
import { hasLapsed } from "./takeover.ts";
import type {
  CloseReason,
  OwnershipAction,
  OwnershipIdentity,
  OwnershipMember,
  OwnershipTimings,
} from "./types.ts";
import type { RowView, Views } from "./views.ts";

/** Dependencies that all parts of the state machine share. */
export interface OwnershipContext {
  readonly identity: OwnershipIdentity;
  readonly timings: OwnershipTimings;
  readonly session: Session;
  readonly operations: Operations;
  readonly views: Views;
  readonly emit: (action: OwnershipAction) => void;
  readonly members: () => readonly OwnershipMember[];
  /** Returns false before the first report, when ranks would be wrong. */
  readonly hasMembers: () => boolean;
}

interface PromiseRequest {
  readonly resource: string;
  readonly to: number;
  readonly sentAtMs: number;
}

/** Manages the resources that this process holds. */
export class HeldResources {
  readonly #context: OwnershipContext;
  readonly #holdings = new Map<string, Holding>();
  readonly #promiseRequests = new Map<number, PromiseRequest>();
  #lastRequestId = 0;

  constructor(context: OwnershipContext) {
    this.#context = context;
  }

  has(resource: string): boolean {
    return this.#holdings.has(resource);
  }

  get(resource: string): Holding | undefined {
    return this.#holdings.get(resource);
  }

  list(): Holding[] {
    return [...this.#holdings.values()];
  }

  /** Returns when the authority over a resource ends, 0 if there is none. */
  authorityUntilMs(resource: string, nowMs: number): number {
    const holding = this.#holdings.get(resource);
    if (holding === undefined) return 0;
    const untilMs = this.#computeAuthority(holding);
    return untilMs > nowMs ? untilMs : 0;
  }

  /** Returns when the last authority over a held resource ends, 0 if none. */
  computeLastAuthorityMs(): number {
    return Math.max(0, ...this.list().map((h) => this.#computeAuthority(h)));
  }

  /** Opens a resource whose row names this process as of the given write. */
  open(
    resource: string,
    row: ResourceRow,
    write: { readonly version: number; readonly sentAtMs: number },
  ): void {
    const holding = makeHolding(resource, row, {
      version: write.version,
      confirmedUntilMs: write.sentAtMs + this.#context.timings.leaseMs,
    });
    this.#holdings.set(resource, holding);
    this.#context.emit({ type: "opened", resource, fence: row.fence });
  }

  close(resource: string, reason: CloseReason): void {
    if (!this.#holdings.delete(resource)) return;
    this.#context.emit({ type: "closed", resource, reason });
  }

  /** Reopens a drained resource whose handover was cancelled. */
  reopen(holding: Holding): void {
    const { resource, row: { fence } } = holding;
    holding.handingOver = false;
    holding.target = 0;
    const reason = "handover-cancelled";
    this.#context.emit({ type: "closed", resource, reason });
    this.#context.emit({ type: "opened", resource, fence });
  }

  /** Closes resources without authority; returns true if any was closed. */
  expire(nowMs: number): boolean {
    const lapsed = this.list().filter((holding) =>
      this.#computeAuthority(holding) <= nowMs
    );
    lapsed.forEach(({ resource }) => this.close(resource, "authority-lapsed"));
    for (const [requestId, request] of this.#promiseRequests) {
      if (request.sentAtMs + this.#context.timings.leaseMs <= nowMs) {
        this.#promiseRequests.delete(requestId);
      }
    }
    return lapsed.length > 0;
  }

  /** Applies a read of the row of a held resource. */
  applyRow(resource: string, view: RowView, sentAtMs: number): void {
    const holding = this.#holdings.get(resource);
    if (holding === undefined || view.version < holding.version) return;
    const row = decodeResource(view.value);
    const isOwn = row.owner === this.#context.session.incarnation &&
      row.fence === holding.row.fence;
    if (!isOwn) return this.close(resource, "owner-changed");
    if (view.version > holding.version) {
      applyNewerRow(holding, row, view.version);
    }
    holding.confirmedUntilMs = Math.max(
      holding.confirmedUntilMs,
      sentAtMs + this.#context.timings.leaseMs,
    );
  }

  /** Applies the answer to a promise request. */
  handlePromiseAnswer(
    answer: { requestId: number; fence: number; granted: boolean },
  ): void {
    const request = this.#promiseRequests.get(answer.requestId);
    if (request === undefined) return;
    this.#promiseRequests.delete(answer.requestId);
    const holding = this.#holdings.get(request.resource);
    if (!answer.granted || holding?.row.fence !== answer.fence) return;
    // Counted from the send time, so that it ends here before it does at the
    // deputy.
    const untilMs = request.sentAtMs + this.#context.timings.leaseMs;
    const currentMs = holding.promises.get(request.to) ?? 0;
    holding.promises.set(request.to, Math.max(untilMs, currentMs));
  }

  /** Requests promises and replaces deputies where needed. */
  update(nowMs: number): void {
    if (this.#context.session.phase !== "live") return;
    for (const holding of this.#holdings.values()) {
      this.#requestPromises(holding, nowMs);
      this.#replaceDeputy(holding, nowMs);
    }
  }

  /** Chooses a deputy for a resource, 0 if there is no candidate. */
  chooseDeputy(resource: string, nowMs: number): number {
    const { identity, members } = this.#context;
    return chooseDeputy(resource, {
      instance: identity.instance,
      zone: identity.zone,
      members: members(),
      hasEnded: (incarnation) => this.hasSessionEnded(incarnation, nowMs),
    });
  }

  /** Returns true if a member's session is known to have ended or lapsed. */
  hasSessionEnded(incarnation: number, nowMs: number): boolean {
    const { session, timings: { takeoverMs }, views } = this.#context;
    const view = views.get(getSessionKey(incarnation));
    if (view === undefined) return false;
    // After a store outage every session appears lapsed until it is renewed.
    const isUninterrupted = nowMs - session.uninterruptedSinceMs >= takeoverMs;
    const input = {
      nowMs: isUninterrupted ? view.readAtMs : view.firstSeenMs,
      takeoverMs,
    };
    return hasLapsed(view, input);
  }

  #computeAuthority(holding: Holding): number {
    return computeAuthority(holding, this.#context.session.leaseUntilMs);
  }

  /** Requests promises once the store has missed two renewals. */
  #requestPromises(holding: Holding, nowMs: number): void {
    const { emit, session, timings } = this.#context;
    if (!this.#isLate(holding, nowMs) || nowMs < holding.nextRequestMs) return;
    holding.nextRequestMs = nowMs + timings.renewMs;
    const { resource, row: { fence } } = holding;
    for (const to of holding.deputies) {
      if (to === 0) continue;
      const requestId = ++this.#lastRequestId;
      this.#promiseRequests.set(requestId, { resource, to, sentAtMs: nowMs });
      const from = session.incarnation;
      emit({ type: "request_promise", to, from, resource, fence, requestId });
    }
  }

  /**
   * Returns true if a resource may be handed over: its authority comes from the
   * lease, and no requested promise would make the successor wait.
   */
  canHandOver(holding: Holding, nowMs: number): boolean {
    const { renewMs, takeoverMs } = this.#context.timings;
    const requestedMs = holding.nextRequestMs - renewMs;
    const mayBePromised = holding.nextRequestMs > 0 &&
      nowMs - requestedMs <= takeoverMs;
    return !mayBePromised && !holding.writing && !holding.handingOver &&
      !this.reliesOnPromises(holding, nowMs);
  }

  #isLate(holding: Holding, nowMs: number): boolean {
    const { session, timings } = this.#context;
    const untilMs = computeStoreAuthority(holding, session.leaseUntilMs);
    return untilMs - nowMs < timings.leaseMs - 2 * timings.renewMs;
  }

  /**
   * Returns true if the authority depends on promises now or soon. A new deputy
   * would have to promise too, so replacing the deputy would cut short the
   * authority that requests in flight rely on.
   */
  reliesOnPromises(holding: Holding, nowMs: number): boolean {
    const untilMs = computePromisedAuthority(holding);
    const { leaseUntilMs } = this.#context.session;
    return this.#isLate(holding, nowMs) ||
      untilMs > computeStoreAuthority(holding, leaseUntilMs);
  }

  #replaceDeputy(holding: Holding, nowMs: number): void {
    const { timings } = this.#context;
    if (holding.handingOver || holding.writing) return;
    if (this.reliesOnPromises(holding, nowMs)) return;
    const deputy = this.chooseDeputy(holding.resource, nowMs);
    if (deputy === 0 || !this.#isBetter(deputy, holding.row.deputy, nowMs)) {
      return;
    }
    const row = { ...holding.row, deputy };
    const write = buildReplacement(
      holding.resource,
      holding.version,
      encodeRow(row),
    );
    holding.writing = true;
    holding.deputies.add(deputy);
    this.#context.operations.submit(write, nowMs, (result, sentAtMs, at) => {
      holding.writing = false;
      if (this.#holdings.get(holding.resource) !== holding) return;
      const rows = result.type === "conflict" ? result.rows : [];
      rows.forEach((changedRow) =>
        this.#context.views.update(changedRow, sentAtMs, at)
      );
      if (result.type !== "committed") return;
      applyNewerRow(holding, row, result.versions[holding.resource]!);
      holding.confirmedUntilMs = Math.max(
        holding.confirmedUntilMs,
        sentAtMs + timings.leaseMs,
      );
    });
  }

  /**
   * Returns true if the present deputy has ended, or shares the owner's zone
   * while the candidate does not.
   */
  #isBetter(candidate: number, present: number, nowMs: number): boolean {
    if (candidate === present) return false;
    const members = this.#context.members();
    const findZone = (incarnation: number) =>
      members.find((member) => member.incarnation === incarnation)?.zone;
    const zone = findZone(present);
    if (zone === undefined || this.hasSessionEnded(present, nowMs)) return true;
    const own = this.#context.identity.zone;
    return zone === own && findZone(candidate) !== own;
  }
}

/** Applies a newer version, which voids all writes with unknown results. */
function applyNewerRow(
  holding: Holding,
  row: ResourceRow,
  version: number,
): void {
  if (version <= holding.version) return;
  holding.row = row;
  holding.version = version;
  holding.deputies = new Set([row.deputy]);
}
