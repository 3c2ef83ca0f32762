/**
 * Rules by which a process may take a resource that it does not hold.
 *
 * @module
 */

import type { TableCheck, TableWrite } from "@dotterelmoor/core.types";
import type { Departures } from "./departures.ts";
import {
  decodeResource,
  decodeSession,
  encodeRow,
  getSessionKey,
  type ResourceRow,
} from "./rows.ts";
import type { RowView } from "./views.ts";

/** What is known about a resource and about the processes that its row names. */
export interface TakeoverFacts {
  /** Own incarnation. */
  readonly self: number;
  readonly nowMs: number;
  readonly takeoverMs: number;
  readonly view: RowView;
  readonly session: (incarnation: number) => RowView | undefined;
  readonly departures: Departures;
}

/** Conditions and side effects of a takeover that the rules allow. */
export interface TakeoverPlan {
  /** True if no other process may have the same plan. */
  readonly exclusive: boolean;
  readonly checks: readonly TableCheck[];
  readonly writes: readonly TableWrite[];
}

/** Returns how to take a resource now, or undefined if it is not allowed. */
export function checkTakeover(facts: TakeoverFacts): TakeoverPlan | undefined {
  const row = decodeResource(facts.view.value);
  if (facts.view.version === 0) return makePlan(false);
  if (row.owner === facts.self) return makePlan(true);
  if (row.owner === 0) return checkReleased(facts);
  const owner = facts.session(row.owner);
  if (owner === undefined) return undefined;
  // An absent session row means that its process gave up all authority.
  if (owner.version === 0) return makePlan(false);
  return hasLapsed(owner, facts) ? checkLapsed(facts, row, owner) : undefined;
}

/** Tells whether a session was revoked or not renewed for the takeover wait. */
export function hasLapsed(
  session: RowView,
  facts: { readonly nowMs: number; readonly takeoverMs: number },
): boolean {
  return session.version === 0 ||
    decodeSession(session.value)?.state === "revoked" ||
    facts.nowMs - session.firstSeenMs >= facts.takeoverMs;
}

/**
 * An operator released the resource. Its owner may not have noticed, but it
 * confirms its row within the lease, so the takeover wait covers it.
 */
function checkReleased(facts: TakeoverFacts): TakeoverPlan | undefined {
  const { view, nowMs, takeoverMs } = facts;
  return nowMs - view.firstSeenMs >= takeoverMs ? makePlan(false) : undefined;
}

/**
 * Only the deputy follows a lapsed owner, because only the deputy knows whether
 * it promised to wait. Without a deputy there is no promise.
 */
function checkLapsed(
  facts: TakeoverFacts,
  row: ResourceRow,
  owner: RowView,
): TakeoverPlan | undefined {
  const revocation = makeRevocation(row.owner, owner);
  if (row.deputy === facts.self) return makePlan(true, revocation);
  if (row.deputy === 0) return makePlan(false, revocation);
  const deputy = facts.session(row.deputy);
  if (deputy === undefined || !hasLapsed(deputy, facts)) return undefined;
  if (!hasEnded(owner, facts)) return undefined;
  if (deputy.version !== 0 && !hasEnded(deputy, facts)) return undefined;
  const checks = [
    ...revocation.checks,
    { key: getSessionKey(row.deputy), version: deputy.version },
  ];
  return makePlan(false, { checks, writes: revocation.writes });
}

/**
 * Tells whether the instance of a session has ended. The list lags, so that an
 * instance that it never showed may be running; one that it showed and has not
 * shown for the takeover wait is not, and its work has ended.
 */
function hasEnded(session: RowView, facts: TakeoverFacts): boolean {
  const { departures, takeoverMs } = facts;
  const { instance, listed } = decodeSession(session.value)!;
  const wasShown = listed === true || departures.has(instance);
  return wasShown && departures.absentMs(instance) >= takeoverMs;
}

function makeRevocation(
  incarnation: number,
  session: RowView,
): { checks: TableCheck[]; writes: TableWrite[] } {
  const key = getSessionKey(incarnation);
  const row = decodeSession(session.value)!;
  const value = encodeRow({ ...row, state: "revoked" });
  return {
    checks: [{ key, version: session.version }],
    writes: row.state === "revoked" ? [] : [{ key, value }],
  };
}

function makePlan(
  exclusive: boolean,
  extra: Pick<TakeoverPlan, "checks" | "writes"> = { checks: [], writes: [] },
): TakeoverPlan {
  return { exclusive, ...extra };
}
