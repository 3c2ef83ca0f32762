/**
 * Backend servers, with a change log for the entries that follow this one.
 *
 * @module
 */

import type { ChangeContext } from "./change_context.ts";
import { hasChanged } from "./change_log.ts";
import type { ChangeLog } from "./change_log.ts";
import type { CatalogChange, ServerRecord, TrackedServer } from "./types.ts";

/**
 * Time in milliseconds for which a server whose record is missing after a store
 * outage, or an evacuation that the store has lost, is kept: what servers and
 * operators wrote is written again within about 2 s.
 */
export const MISSING_GRACE_MS = 2_000;

/**
 * Time in milliseconds after an outage during which missing records get
 * `MISSING_GRACE_MS`; covers the first reads after the outage.
 */
const OUTAGE_RECOVERY_MS = 2_500;

/** Time in milliseconds for which delayed reports of a removed server are
 * ignored. */
const TOMBSTONE_TTL_MS = 60_000;

/** Time in milliseconds for which a server that announced that it is leaving
 * gets no requests, even if its record disappears and reappears. It may keep
 * running for many seconds; a later start has another `bornMs`. */
const LEAVING_TTL_MS = 600_000;

/** Tolerance in milliseconds between reported ends of one cold period; a later
 * end means that the server became cold again. */
const COLD_END_TOLERANCE_MS = 1_000;

/** Options of `ServerTable`. */
export interface ServerTableOptions {
  /** Region of each availability zone. */
  readonly zones: Readonly<Record<string, string>>;
  readonly log: ChangeLog;
  /** Called when a server was added, removed or changed. */
  readonly onChanged: () => void;
}

/** Start of a server that announced that it is leaving. */
interface LeavingServer {
  readonly bornMs: number;
  readonly atMs: number;
}

interface Tombstone {
  readonly bornMs: number;
  readonly sequence: number;
  readonly atMs: number;
}

/** The servers that one entry knows. */
export class ServerTable {
  readonly #options: ServerTableOptions;
  readonly #servers = new Map<string, TrackedServer>();
  readonly #tombstones = new Map<string, Tombstone>();
  /** Servers of which a later report is known than the store has, since it came
   * back from an older copy. Followers may know the store's. */
  readonly #ahead = new Set<string>();
  /** By server id, oldest first. */
  readonly #leaving = new Map<string, LeavingServer>();
  #storeRecoveredAtMs = -Infinity;

  constructor(options: ServerTableOptions) {
    this.#options = options;
  }

  /** All servers, those that are missing or draining included. */
  get all(): Iterable<TrackedServer> {
    return this.#servers.values();
  }

  /** Records that the store answers again after an outage. */
  markStoreRecovered(nowMs: number): void {
    this.#storeRecoveredAtMs = nowMs;
  }

  /** Records that a server, identified by id and start, announced that it is
   * leaving. */
  markLeaving(id: string, bornMs: number, nowMs: number): void {
    // The answer of an earlier start may arrive late.
    if (bornMs < (this.#leaving.get(id)?.bornMs ?? 0)) return;
    this.#leaving.delete(id);
    this.#leaving.set(id, { bornMs, atMs: nowMs });
    const current = this.#servers.get(id);
    if (current?.record.bornMs !== bornMs) return;
    // Not logged for other entries: log positions are store versions.
    const record: ServerRecord = { ...current.record, state: "draining" };
    this.#servers.set(id, { ...current, record });
    this.#options.onChanged();
  }

  /** Returns the whole table as changes. */
  list(nowMs: number): CatalogChange[] {
    const changes: CatalogChange[] = [];
    for (const { record, ...server } of this.#servers.values()) {
      const coldMs = Math.max(0, Math.round(server.coldUntilMs - nowMs));
      changes.push({ type: "server", record: { ...record, coldMs } });
      if (server.missingSinceMs === undefined) continue;
      changes.push({ type: "server_removed", id: record.id });
    }
    return changes;
  }

  /** Reports the removal of a server as `server_missing` while the server may
   * still reappear. */
  describeMissing(change: CatalogChange, nowMs: number): CatalogChange {
    if (change.type !== "server_removed") return change;
    const { id } = change;
    const sinceMs = this.#servers.get(id)?.missingSinceMs;
    return sinceMs === undefined
      ? change
      : { type: "server_missing", id, forMs: nowMs - sinceMs };
  }

  /** Applies a report. */
  apply(record: ServerRecord, context: ChangeContext): void {
    if (this.#isOutdated(record)) {
      if (context.hasLost) this.#ahead.add(record.id);
      return;
    }
    const region = this.#options.zones[record.zone];
    if (region === undefined) return this.#removeUnlocated(record, context);
    const { version, nowMs, isRelayed } = context;
    const current = this.#servers.get(record.id);
    const { bornMs } = record;
    const isSameStart = current?.record.bornMs === bornMs;
    const isLeaving = this.#leaving.get(record.id)?.bornMs === bornMs ||
      (isSameStart && current?.record.state === "draining");
    const effective: ServerRecord = isLeaving
      ? { ...record, state: "draining" }
      : record;
    const untilMs = record.coldMs > 0 ? nowMs + record.coldMs : -Infinity;
    this.#servers.set(record.id, {
      record: effective,
      region,
      coldUntilMs: untilMs,
      missingSinceMs: undefined,
    });
    const wasAhead = this.#ahead.delete(record.id);
    const isChanged = current === undefined || wasAhead ||
      current.missingSinceMs !== undefined ||
      hasChanged(current.record, effective) ||
      untilMs > current.coldUntilMs + COLD_END_TOLERANCE_MS;
    if (isChanged) this.#options.onChanged();
    if (!isChanged && !isRelayed) return;
    const change: CatalogChange = { type: "server", record: effective };
    this.#options.log.add(record.id, change, version);
  }

  /** Removes a server that reports a zone of no known region. */
  #removeUnlocated(
    record: ServerRecord,
    { version, nowMs }: ChangeContext,
  ): void {
    const { id } = record;
    if (this.#servers.has(id)) {
      this.#options.log.add(id, { type: "server_removed", id }, version);
    }
    this.#removeWithTombstone(record, nowMs);
  }

  /** True for a delayed report, which must not bring back a server that has
   * left since. */
  #isOutdated(record: ServerRecord): boolean {
    const { bornMs, sequence } = record;
    const newest = this.#servers.get(record.id)?.record ??
      this.#tombstones.get(record.id);
    if (newest === undefined) return false;
    return bornMs < newest.bornMs ||
      (bornMs === newest.bornMs && sequence < newest.sequence);
  }

  /** Also logs the removal of a server that is unknown here, because followers
   * may know it. */
  remove(id: string, context: ChangeContext): void {
    const current = this.#servers.get(id);
    const { nowMs, version } = context;
    const mayReturn = current?.record.state === "ready" &&
      nowMs - this.#storeRecoveredAtMs <= OUTAGE_RECOVERY_MS;
    if (mayReturn) return this.markMissing(id, 0, context);
    if (current !== undefined) this.#removeWithTombstone(current.record, nowMs);
    const change: CatalogChange = { type: "server_removed", id };
    this.#options.log.add(id, change, version);
  }

  /** Marks a server as missing for a time; it may reappear. */
  markMissing(
    id: string,
    forMs: number,
    { version, nowMs }: ChangeContext,
  ): void {
    const current = this.#servers.get(id);
    if (current !== undefined) {
      const missingSinceMs = current.missingSinceMs ?? nowMs - forMs;
      this.#servers.set(id, { ...current, missingSinceMs });
    }
    const change: CatalogChange = { type: "server_removed", id };
    this.#options.log.add(id, change, version);
  }

  #removeWithTombstone(
    { id, bornMs, sequence }: ServerRecord,
    atMs: number,
  ): void {
    this.#servers.delete(id);
    this.#ahead.delete(id);
    // Keeps the map ordered by age, the oldest first.
    this.#tombstones.delete(id);
    this.#tombstones.set(id, { bornMs, sequence: sequence + 1, atMs });
    this.#options.onChanged();
  }

  /** Removes the servers that a whole table does not list. */
  removeUnlisted(
    changes: readonly CatalogChange[],
    context: ChangeContext,
  ): void {
    const listed = new Set(
      changes.map((change) => change.type === "server" ? change.record.id : ""),
    );
    for (const id of [...this.#servers.keys()]) {
      if (!listed.has(id)) this.remove(id, context);
    }
  }

  /** Removes the servers that did not reappear. */
  expire(nowMs: number): void {
    for (const server of this.#servers.values()) {
      const { missingSinceMs } = server;
      if (missingSinceMs === undefined) continue;
      if (nowMs - missingSinceMs < MISSING_GRACE_MS) continue;
      this.#removeWithTombstone(server.record, nowMs);
    }
    expireOldest(this.#tombstones, nowMs - TOMBSTONE_TTL_MS);
    expireOldest(this.#leaving, nowMs - LEAVING_TTL_MS);
  }
}

/** Removes the items up to a time from a map that is ordered by time. */
function expireOldest(
  items: Map<string, { readonly atMs: number }>,
  untilMs: number,
): void {
  for (const [id, { atMs }] of items) {
    if (atMs > untilMs) break;
    items.delete(id);
  }
}

/** Turns the removal of a server that is followed by a report of the same
 * server into `server_missing`. An update may start before the current
 * position; after a removal, its tombstone would reject the report, which was
 * applied before, as delayed. */
export function markTransientRemovals(
  changes: readonly CatalogChange[],
): CatalogChange[] {
  const reported = new Map<string, number>();
  changes.forEach((change, index) => {
    if (change.type === "server") reported.set(change.record.id, index);
  });
  return changes.map((change, index) => {
    if (change.type !== "server_removed") return change;
    const { id } = change;
    const returns = index < (reported.get(id) ?? -1);
    return returns ? { type: "server_missing", id, forMs: 0 } : change;
  });
}
