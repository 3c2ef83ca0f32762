/**
 * Rebalancing: hands over resources, one at a time, to the member with the
 * fewest.
 *
 * @module
 */

import type { Handover } from "./handover.ts";
import type { HeldResources, OwnershipContext } from "./held_resources.ts";
import { spreadInstances } from "./rendezvous.ts";
import { decodeResource, decodeSession, getSessionKey } from "./rows.ts";
import type { OwnershipMember } from "./types.ts";

/** Minimum difference in resources; a move would only reverse a smaller one. */
const MIN_DIFFERENCE = 2;

/**
 * Delay per rank among the owners that may hand over to the same member, so
 * that each first reads the rows changed by the previous owner. With six owners
 * of 24 resources, a new member got up to 6 resources without a delay, up to 5
 * with 2 s and up to 4 with 5 s.
 */
const RANK_WAIT_MS = 5_000;

/**
 * Renewal intervals after which an unchanged session counts as not renewing.
 */
const MAX_RENEWALS_LATE = 3;

/** Dependencies of rebalancing beyond the shared ones. */
export interface RebalancingOptions {
  readonly heldResources: HeldResources;
  readonly handover: Handover;
  readonly resources: () => readonly string[];
}

/** The member chosen to get a resource, and the time of the choice. */
interface PendingMove {
  readonly target: number;
  readonly sinceMs: number;
}

/** Decides when to hand over which resource to which member. */
export class Rebalancing {
  readonly #context: OwnershipContext;
  readonly #options: RebalancingOptions;
  readonly #liveSince = new Map<number, number>();
  #pendingMove: PendingMove | undefined;
  #nextMs = 0;

  constructor(context: OwnershipContext, options: RebalancingOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Records the time from which each member is reported without a gap. */
  setMembers(members: readonly OwnershipMember[], nowMs: number): void {
    const present = new Set(members.map(({ incarnation }) => incarnation));
    for (const incarnation of this.#liveSince.keys()) {
      if (!present.has(incarnation)) this.#liveSince.delete(incarnation);
    }
    for (const incarnation of present) {
      if (this.#liveSince.has(incarnation)) continue;
      this.#liveSince.set(incarnation, nowMs);
    }
  }

  /** Starts at most one handover. */
  update(nowMs: number): void {
    const { session } = this.#context;
    const { handover, heldResources } = this.#options;
    const isBusy = handover.isBusy() || nowMs < this.#nextMs;
    if (
      session.phase !== "live" || isBusy || heldResources.list().length === 0
    ) {
      return;
    }
    const counts = this.#countRows();
    const target = counts && this.#chooseTarget(counts, nowMs);
    if (counts === undefined || target === undefined) {
      this.#pendingMove = undefined;
      return;
    }
    if (this.#pendingMove?.target !== target.incarnation) {
      this.#pendingMove = { target: target.incarnation, sinceMs: nowMs };
    }
    const waitMs = this.#computeRank(target, counts) * RANK_WAIT_MS;
    if (nowMs < this.#pendingMove.sinceMs + waitMs) return;
    if (!this.#isFresh(target, nowMs) || !this.#isRenewing(target, nowMs)) {
      return;
    }
    const resource = this.#chooseResource(target, nowMs);
    if (resource === undefined) return;
    this.#pendingMove = undefined;
    this.#nextMs = nowMs + this.#context.timings.rebalanceMs;
    handover.requestDrain(resource, target.incarnation);
  }

  /**
   * Counts the resources of each incarnation; returns undefined if a row has
   * not been read yet.
   */
  #countRows(): Map<number, number> | undefined {
    const { views } = this.#context;
    const counts = new Map<number, number>();
    for (const resource of this.#options.resources()) {
      const view = views.get(resource);
      if (view === undefined) return undefined;
      const { owner } = decodeResource(view.value);
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Chooses the settled member with the fewest resources; returns undefined if
   * the difference to this process is too small.
   */
  #chooseTarget(
    counts: ReadonlyMap<number, number>,
    nowMs: number,
  ): OwnershipMember | undefined {
    const { identity: { instance }, session, timings } = this.#context;
    const getCount = (incarnation: number) => counts.get(incarnation) ?? 0;
    const settled = this.#context.members().filter((member) =>
      member.instance !== instance &&
      nowMs - this.#liveSince.get(member.incarnation)! >= timings.settleMs &&
      !this.#options.heldResources.hasSessionEnded(member.incarnation, nowMs)
    );
    const fewest = Math.min(
      ...settled.map((member) => getCount(member.incarnation)),
    );
    const own = getCount(session.incarnation);
    if (own - fewest < MIN_DIFFERENCE) return undefined;
    const tied = settled.filter((member) =>
      getCount(member.incarnation) === fewest
    );
    // Keyed by this instance, so that owners prefer different members.
    const [first] = spreadInstances(instance, tied.map((m) => m.instance));
    return tied.find((member) => member.instance === first);
  }

  /**
   * Computes the own position among the owners that may hand over to a member;
   * the owner of the most resources comes first.
   */
  #computeRank(
    target: OwnershipMember,
    counts: ReadonlyMap<number, number>,
  ): number {
    const { identity: { instance }, members, session } = this.#context;
    const getCount = (incarnation: number) => counts.get(incarnation) ?? 0;
    const minCount = getCount(target.incarnation) + MIN_DIFFERENCE;
    const own = getCount(session.incarnation);
    const others = members().filter((member) =>
      member.instance !== instance && getCount(member.incarnation) >= minCount
    );
    const withMore = others.filter((m) => getCount(m.incarnation) > own);
    const withEqual = others.filter((m) => getCount(m.incarnation) === own);
    const order = spreadInstances(target.instance, [
      ...new Set([instance, ...withEqual.map((member) => member.instance)]),
    ]);
    return withMore.length + order.indexOf(instance);
  }

  /** Returns true if all counted rows are recent; polls outdated ones. */
  #isFresh(target: OwnershipMember, nowMs: number): boolean {
    const { timings: { observeMs }, views } = this.#context;
    const keys = [
      ...this.#options.resources(),
      getSessionKey(target.incarnation),
    ];
    const outdated = keys.filter((key) =>
      nowMs - (views.get(key)?.readAtMs ?? -Infinity) > 2 * observeMs
    );
    outdated.forEach((key) => views.poll(key, observeMs, nowMs));
    return outdated.length === 0;
  }

  /**
   * Returns true if the member renews its session; otherwise it could not take
   * over the resource.
   */
  #isRenewing(target: OwnershipMember, nowMs: number): boolean {
    const { timings: { renewMs }, views } = this.#context;
    const view = views.get(getSessionKey(target.incarnation))!;
    return decodeSession(view.value)?.state === "live" &&
      nowMs - view.firstSeenMs <= MAX_RENEWALS_LATE * renewMs;
  }

  /** Chooses the resource in whose instance order the member ranks highest. */
  #chooseResource(target: OwnershipMember, nowMs: number): string | undefined {
    const { heldResources } = this.#options;
    const instances = this.#context.members().map(({ instance }) => instance);
    const order = [...new Set(instances)];
    const ranked = heldResources.list()
      .filter((holding) => heldResources.canHandOver(holding, nowMs))
      .map(({ resource }) => ({
        resource,
        rank: spreadInstances(resource, order).indexOf(target.instance),
      }));
    ranked.sort((a, b) => a.rank - b.rank);
    return ranked[0]?.resource;
  }
}
