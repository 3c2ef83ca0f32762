/**
 * Candidate role: reading rows, taking over resources and granting promises.
 *
 * @module
 */

import type { TransactResult } from "@dotterelmoor/core.types";
import type { Departures } from "./departures.ts";
import type { Handover } from "./handover.ts";
import type { HeldResources, OwnershipContext } from "./held_resources.ts";
import { GrantedPromises } from "./promises.ts";
import { spreadInstances } from "./rendezvous.ts";
import { decodeResource, encodeRow, getSessionKey } from "./rows.ts";
import type { ResourceRow } from "./rows.ts";
import { checkTakeover, hasLapsed, type TakeoverPlan } from "./takeover.ts";

/** Head start of each candidate over the next one in the order. */
const RANK_WAIT_MS = 500;

/**
 * Longest interval between reads, in units of the shortest. Together with the
 * growth by rank it keeps the reads of one resource near 7/s even with 117
 * processes in its region; the store allows 2,000 reads/s in total.
 */
const MAX_SLOWDOWN = 120;

/** Number of ranks whose read interval grows only linearly. */
const NEAR_RANKS = 5;

/** Factor on the read interval of a session that its deputy already reads. */
const SESSION_SLOWDOWN = 5;

/** The last takeover that was submitted for a resource. */
interface Attempt {
  inFlight: boolean;
  readonly retryAtMs: number;
}

/** Dependencies of a candidate beyond the shared ones. */
export interface CandidateOptions {
  readonly heldResources: HeldResources;
  readonly departures: Departures;
  readonly handover: Handover;
}

/** Observes the resources of the region and takes over those that are free. */
export class Candidate {
  readonly #context: OwnershipContext;
  readonly #heldResources: HeldResources;
  readonly #departures: Departures;
  readonly #handover: Handover;
  readonly #granted = new GrantedPromises();
  readonly #attempts = new Map<string, Attempt>();
  readonly #freeSince = new Map<string, { version: number; sinceMs: number }>();
  #resources: readonly string[] = [];

  constructor(context: OwnershipContext, options: CandidateOptions) {
    this.#context = context;
    this.#heldResources = options.heldResources;
    this.#departures = options.departures;
    this.#handover = options.handover;
  }

  get resources(): readonly string[] {
    return this.#resources;
  }

  setResources(resources: readonly string[]): void {
    this.#resources = [...resources];
  }

  /** Polls the relevant rows, more often where this process has a low rank. */
  observe(nowMs: number): void {
    const { views } = this.#context;
    for (const resource of this.#resources) {
      const intervalMs = this.#computeInterval(resource);
      views.poll(resource, intervalMs, nowMs);
      const view = views.get(resource);
      if (view === undefined || view.version === 0) continue;
      this.#observeSessions(decodeResource(view.value), intervalMs, nowMs);
    }
    views.expire(nowMs);
  }

  /** Reads the row of a resource now, unless a read is in flight. */
  read(resource: string, nowMs: number): void {
    if (!this.#resources.includes(resource)) return;
    this.#context.views.poll(resource, 0, nowMs);
  }

  #observeSessions(row: ResourceRow, intervalMs: number, nowMs: number): void {
    const { session, views } = this.#context;
    const self = session.incarnation;
    const isWatched = row.deputy !== 0 && row.deputy !== self;
    const sessionMs = isWatched ? intervalMs * SESSION_SLOWDOWN : intervalMs;
    if (row.owner !== 0 && row.owner !== self) {
      views.poll(getSessionKey(row.owner), sessionMs, nowMs);
    }
    if (isWatched && this.#mustReadDeputy(row.owner)) {
      views.poll(getSessionKey(row.deputy), sessionMs, nowMs);
    }
  }

  /** Takes over every resource that the rules allow. */
  take(nowMs: number): void {
    const { session } = this.#context;
    this.#granted.expire(nowMs);
    if (session.phase !== "live" || session.leaseUntilMs <= nowMs) return;
    if (!this.#context.hasMembers()) return;
    for (const resource of this.#resources) {
      if (
        this.#heldResources.has(resource) || this.#isWaiting(resource, nowMs)
      ) {
        continue;
      }
      const plan = this.#makePlan(resource, nowMs);
      if (plan === undefined || !this.#isFresh(resource, plan, nowMs)) continue;
      this.#submit(resource, plan, nowMs);
    }
  }

  /**
   * Grants or refuses a promise, and records it if granted. An own takeover
   * that got no answer does not matter: the owner had neither lease nor promise
   * when it was submitted, and a renewal since then makes it conflict.
   */
  answerPromiseRequest(
    request: { from: number; to: number; resource: string; fence: number },
    nowMs: number,
  ): boolean {
    const { session, timings, views } = this.#context;
    const { resource, fence } = request;
    if (session.phase !== "live" || request.to !== session.incarnation) {
      return false;
    }
    if (this.#heldResources.has(resource)) return false;
    const row = decodeResource(views.get(resource)?.value ?? null);
    const isOther = row.owner !== request.from;
    if (row.fence > fence || (row.fence === fence && isOther)) return false;
    // The deputy's wait exceeds the owner's validity by the clock rate error.
    this.#granted.add(resource, nowMs + timings.takeoverMs);
    return true;
  }

  /**
   * Returns true if this process must read the deputy's session: the owner
   * always, others once the owner has lapsed.
   */
  #mustReadDeputy(owner: number): boolean {
    const { session, timings, views } = this.#context;
    if (owner === session.incarnation) return true;
    const view = views.get(getSessionKey(owner));
    return view !== undefined &&
      hasLapsed(view, {
        nowMs: view.readAtMs,
        takeoverMs: timings.takeoverMs,
      });
  }

  #computeInterval(resource: string): number {
    const { session, timings, views } = this.#context;
    const view = views.get(resource);
    const row = decodeResource(view?.value ?? null);
    const self = session.incarnation;
    const isInvolved = view === undefined || row.owner === self ||
      row.deputy === self;
    if (isInvolved) return timings.observeMs;
    const rank = this.#computeRank(resource);
    const slowdown = 1 + rank + Math.max(0, rank - NEAR_RANKS) ** 2;
    return timings.observeMs * Math.min(slowdown, MAX_SLOWDOWN);
  }

  /**
   * Computes the own position in the order of live members except the owner.
   */
  #computeRank(resource: string): number {
    const { identity: { instance }, members, views } = this.#context;
    const row = decodeResource(views.get(resource)?.value ?? null);
    const others = members()
      .filter((member) => member.incarnation !== row.owner)
      .map((member) => member.instance);
    const order = spreadInstances(resource, [
      ...new Set([...others, instance]),
    ]);
    return order.indexOf(instance);
  }

  #isWaiting(resource: string, nowMs: number): boolean {
    // A handover write that may still take effect names another owner.
    if (this.#handover.has(resource)) return true;
    if (this.#granted.getEndMs(resource) > nowMs) return true;
    const attempt = this.#attempts.get(resource);
    return attempt !== undefined &&
      (attempt.inFlight || nowMs < attempt.retryAtMs);
  }

  /** Returns a plan if the takeover is allowed and the wait by rank is over. */
  #makePlan(resource: string, nowMs: number): TakeoverPlan | undefined {
    const { session, timings, views } = this.#context;
    const view = views.get(resource);
    if (view === undefined) return undefined;
    const plan = checkTakeover({
      self: session.incarnation,
      nowMs,
      takeoverMs: timings.takeoverMs,
      view,
      session: (incarnation) => views.get(getSessionKey(incarnation)),
      departures: this.#departures,
    });
    if (plan === undefined) {
      this.#freeSince.delete(resource);
      return undefined;
    }
    let free = this.#freeSince.get(resource);
    if (free?.version !== view.version) {
      free = { version: view.version, sinceMs: nowMs };
      this.#freeSince.set(resource, free);
    }
    const waitMs = plan.exclusive
      ? 0
      : this.#computeRank(resource) * RANK_WAIT_MS;
    return nowMs >= free.sinceMs + waitMs ? plan : undefined;
  }

  /** Returns true if all rows of the plan are recent; polls outdated ones. */
  #isFresh(resource: string, plan: TakeoverPlan, nowMs: number): boolean {
    const { timings: { observeMs }, views } = this.#context;
    const keys = [resource, ...plan.checks.map(({ key }) => key)];
    const outdated = keys.filter((key) =>
      nowMs - views.get(key)!.readAtMs > 2 * observeMs
    );
    outdated.forEach((key) => views.poll(key, observeMs, nowMs));
    return outdated.length === 0;
  }

  #submit(resource: string, plan: TakeoverPlan, nowMs: number): void {
    const { operations, session, timings, views } = this.#context;
    const view = views.get(resource)!;
    const row = {
      owner: session.incarnation,
      deputy: this.#heldResources.chooseDeputy(resource, nowMs),
      fence: decodeResource(view.value).fence + 1,
    };
    const checks = [{ key: resource, version: view.version }, ...plan.checks];
    const writes = [{ key: resource, value: encodeRow(row) }, ...plan.writes];
    const retryAtMs = nowMs + timings.observeMs;
    const attempt = { inFlight: true, retryAtMs };
    this.#attempts.set(resource, attempt);
    operations.submit({ checks, writes }, nowMs, (result, sentAtMs, at) => {
      attempt.inFlight = false;
      if (result.type === "unavailable") return;
      this.#attempts.delete(resource);
      const rows = listRows(result, writes);
      rows.forEach((currentRow) => views.update(currentRow, sentAtMs, at));
      if (result.type !== "committed") return;
      const version = result.versions[resource]!;
      const isOwn = session.phase === "live" &&
        this.#resources.includes(resource) &&
        session.incarnation === row.owner && session.leaseUntilMs > at &&
        views.get(resource)?.version === version;
      if (isOwn) this.#heldResources.open(resource, row, { version, sentAtMs });
    });
  }
}

/** Lists the rows whose current version follows from a result. */
function listRows(
  result: Exclude<TransactResult, { type: "unavailable" }>,
  writes: TakeoverPlan["writes"],
) {
  return result.type === "conflict" ? result.rows : writes.map((write) => ({
    ...write,
    version: result.versions[write.key]!,
  }));
}
