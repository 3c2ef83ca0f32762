/**
 * Rules for taking over a resource that this process does not hold.
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

/** Current knowledge about a resource and the processes that its row names. */
export interface TakeoverInput {
  /** Own incarnation. */
  readonly self: number;
  readonly nowMs: number;
  readonly takeoverMs: number;
  readonly view: RowView;
  readonly session: (incarnation: number) => RowView | undefined;
  readonly departures: Departures;
}

/** Extra checks and writes of the transaction of an allowed takeover. */
export interface TakeoverPlan {
  /** True if no other process may take over the resource at the same time. */
  readonly exclusive: boolean;
  readonly checks: readonly TableCheck[];
  readonly writes: readonly TableWrite[];
}

/** Plans a takeover; returns undefined if it is not allowed now. */
export function checkTakeover(input: TakeoverInput): TakeoverPlan | undefined {
  const row = decodeResource(input.view.value);
  if (input.view.version === 0) return makePlan(false);
  if (row.owner === input.self) return makePlan(true);
  if (row.owner === 0) return checkReleased(input);
  const owner = input.session(row.owner);
  if (owner === undefined) return undefined;
  // A missing session row means that its process gave up all authority.
  if (owner.version === 0) return makePlan(false);
  return hasLapsed(owner, input) ? checkLapsed(input, row, owner) : undefined;
}

/** Returns true if a session was removed, revoked or not renewed in time. */
export function hasLapsed(
  session: RowView,
  input: { readonly nowMs: number; readonly takeoverMs: number },
): boolean {
  return session.version === 0 ||
    decodeSession(session.value)?.state === "revoked" ||
    input.nowMs - session.firstSeenMs >= input.takeoverMs;
}

/**
 * Plans the takeover of a resource that an operator released. Its owner may not
 * have noticed yet, but must confirm its row within the lease, and the takeover
 * wait is longer.
 */
function checkReleased(input: TakeoverInput): TakeoverPlan | undefined {
  const { view, nowMs, takeoverMs } = input;
  return nowMs - view.firstSeenMs >= takeoverMs ? makePlan(false) : undefined;
}

/**
 * Plans a takeover from a lapsed owner. Only the deputy may succeed it, as only
 * the deputy knows if it promised to wait; without a deputy there is no
 * promise. Others may succeed only if both owner and deputy have certainly
 * ended.
 */
function checkLapsed(
  input: TakeoverInput,
  row: ResourceRow,
  owner: RowView,
): TakeoverPlan | undefined {
  const revocation = makeRevocation(row.owner, owner);
  if (row.deputy === input.self) return makePlan(true, revocation);
  if (row.deputy === 0) return makePlan(false, revocation);
  const deputy = input.session(row.deputy);
  if (deputy === undefined || !hasLapsed(deputy, input)) return undefined;
  if (!hasEnded(owner, input)) return undefined;
  if (deputy.version !== 0 && !hasEnded(deputy, input)) return undefined;
  const checks = [
    ...revocation.checks,
    { key: getSessionKey(row.deputy), version: deputy.version },
  ];
  return makePlan(false, { checks, writes: revocation.writes });
}

/**
 * Returns true if the instance of a session has certainly ended. The list lags,
 * so an instance that it never showed may be running. An instance that it
 * showed and then omitted for the takeover wait has ended, and so have its
 * requests.
 */
function hasEnded(session: RowView, input: TakeoverInput): boolean {
  const { departures, takeoverMs } = input;
  const { instance, listed } = decodeSession(session.value)!;
  const wasListed = listed === true || departures.has(instance);
  return wasListed && departures.computeAbsenceMs(instance) >= takeoverMs;
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
