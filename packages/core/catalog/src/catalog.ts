/**
 * Catalog of routes, servers, evacuations and crash notes of one entry.
 *
 * @module
 */

import type { CrashNotes } from "@dotterelmoor/core.quarantine";
import { applyEvent } from "@dotterelmoor/core.types";
import type { EventHandlers } from "@dotterelmoor/core.types";
import { ChangeLog, hasChanged } from "./change_log.ts";
import { CrashTable } from "./crash_table.ts";
import { createRouteIndex } from "./route_index.ts";
import type { RouteIndex } from "./route_index.ts";
import type {
  CatalogChange,
  CatalogDelta,
  CatalogPosition,
  CatalogTable,
  RoutingDocument,
  ServerRecord,
  TableUpdate,
  TrackedServer,
} from "./types.ts";

/**
 * Time in milliseconds for which a server whose record is missing after a store
 * outage is kept: live servers write their record again within about 2 s.
 */
const MISSING_GRACE_MS = 2_000;

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

/** Options of `createCatalog`. */
export interface CatalogOptions {
  /** Region of each availability zone. */
  readonly zones: Readonly<Record<string, string>>;
}

/** Catalog of one entry. */
export interface Catalog {
  /** Applies an update that was read from the store. */
  applyTable(table: CatalogTable, update: TableUpdate, nowMs: number): void;
  /** Applies the updates of another entry. */
  applyDelta(delta: CatalogDelta, nowMs: number): void;
  /** Records that a server, identified by id and start, announced that it is
   * leaving. */
  markLeaving(id: string, bornMs: number, nowMs: number): void;
  /** Records that the store answers again after an outage. */
  markStoreRecovered(nowMs: number): void;
  /** Newest routing document; undefined until one is known. */
  readonly document: RoutingDocument | undefined;
  /** Routes of `document`. */
  readonly routes: RouteIndex | undefined;
  /** Crashes during requests, as entries recorded them in the store. */
  readonly crashNotes: CrashNotes;
  isEvacuated(zone: string): boolean;
  /** Returns the servers of a service that may receive requests; servers that
   * are draining or in an evacuated zone are left out. */
  findServers(service: string, nowMs: number): readonly TrackedServer[];
  /** Store version up to which each table was applied; 0 if it never was. */
  readonly position: Readonly<Record<CatalogTable, number>>;
  /** Returns the changes since a position, or whole tables where the change log
   * does not reach back so far. Plain heartbeats are not changes. */
  changesSince(position: CatalogPosition, nowMs: number): CatalogDelta;
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

/** Table version and time at which a change is applied. */
interface ChangeContext {
  readonly version: number;
  readonly nowMs: number;
  /** True if the change comes from another entry; those omit heartbeats. */
  readonly isRelayed: boolean;
}

/** Creates an empty catalog. */
export function createCatalog(options: CatalogOptions): Catalog {
  return new PlatformCatalog(options);
}

class PlatformCatalog implements Catalog {
  readonly #options: CatalogOptions;
  readonly #logs: Readonly<Record<CatalogTable, ChangeLog>> = {
    servers: new ChangeLog(),
    orders: new ChangeLog(),
    crashes: new ChangeLog(),
  };
  readonly #position: Record<CatalogTable, number> = {
    servers: 0,
    orders: 0,
    crashes: 0,
  };
  readonly #crashes = new CrashTable(this.#logs.crashes);
  readonly #servers = new Map<string, TrackedServer>();
  readonly #tombstones = new Map<string, Tombstone>();
  /** By server id, oldest first. */
  readonly #leaving = new Map<string, LeavingServer>();
  readonly #evacuated = new Set<string>();
  #byService: Map<string, TrackedServer[]> | undefined;
  #document: RoutingDocument | undefined;
  #routes: RouteIndex | undefined;
  #storeRecoveredAtMs = -Infinity;

  readonly #handlers: EventHandlers<CatalogChange, void, ChangeContext> = {
    server: ({ record }, context) => this.#applyRecord(record, context),
    server_removed: ({ id }, context) => this.#removeServer(id, context),
    server_missing: ({ id, forMs }, context) =>
      this.#markMissing(id, forMs, context),
    document: ({ document }, { version }) =>
      this.#applyDocument(document, version),
    evacuation: ({ zone }, { version }) =>
      this.#setEvacuated(zone, true, version),
    evacuation_ended: ({ zone }, { version }) =>
      this.#setEvacuated(zone, false, version),
    crash_note: ({ note }, { version }) => this.#crashes.add(note, version),
    crash_note_removed: ({ key }, { version }) =>
      this.#crashes.remove(key, version),
    unreadable: () => {},
  };

  readonly #removeUnlisted: Readonly<
    Record<
      CatalogTable,
      (changes: readonly CatalogChange[], context: ChangeContext) => void
    >
  > = {
    servers: (changes, context) => this.#removeServers(changes, context),
    orders: (changes, { version }) => this.#endEvacuations(changes, version),
    crashes: (changes, { version }) =>
      this.#crashes.removeUnlisted(changes, version),
  };

  constructor(options: CatalogOptions) {
    this.#options = options;
  }

  get document(): RoutingDocument | undefined {
    return this.#document;
  }

  get routes(): RouteIndex | undefined {
    return this.#routes;
  }

  get crashNotes(): CrashNotes {
    return this.#crashes.notes;
  }

  applyTable(table: CatalogTable, update: TableUpdate, nowMs: number): void {
    const { version } = update;
    this.#apply(table, update, { version, nowMs, isRelayed: false });
  }

  applyDelta(delta: CatalogDelta, nowMs: number): void {
    const { servers, orders, crashes } = delta;
    const context = { nowMs, isRelayed: true };
    if (crashes !== undefined) {
      this.#apply("crashes", crashes, { ...context, version: crashes.version });
    }
    this.#apply("orders", orders, { ...context, version: orders.version });
    this.#apply("servers", servers, { ...context, version: servers.version });
  }

  #apply(
    table: CatalogTable,
    { isComplete, changes }: TableUpdate,
    context: ChangeContext,
  ): void {
    const { version } = context;
    const currentVersion = this.#position[table];
    // Changes of an entry that lags behind have been applied already.
    if (version < currentVersion) return;
    this.#position[table] = version;
    // A whole table lacks rows that were added and removed since. A follower
    // may know the addition without the removal, so it must get the whole table
    // too.
    if (isComplete || currentVersion === 0) this.#logs[table].restart(version);
    for (const change of markTransientRemovals(changes)) {
      applyEvent(this.#handlers, change, context);
    }
    if (isComplete) this.#removeUnlisted[table](changes, context);
  }

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
    this.#byService = undefined;
  }

  markStoreRecovered(nowMs: number): void {
    this.#storeRecoveredAtMs = nowMs;
  }

  isEvacuated(zone: string): boolean {
    return this.#evacuated.has(zone);
  }

  findServers(service: string, nowMs: number): readonly TrackedServer[] {
    this.#expire(nowMs);
    this.#byService ??= this.#groupServers();
    return this.#byService.get(service) ?? [];
  }

  get position(): Readonly<Record<CatalogTable, number>> {
    return { ...this.#position };
  }

  changesSince(position: CatalogPosition, nowMs: number): CatalogDelta {
    this.#expire(nowMs);
    return {
      servers: this.#buildUpdate("servers", position.servers, nowMs),
      orders: this.#buildUpdate("orders", position.orders, nowMs),
      crashes: this.#buildUpdate("crashes", position.crashes ?? 0, nowMs),
    };
  }

  #buildUpdate(
    table: CatalogTable,
    after: number,
    nowMs: number,
  ): TableUpdate {
    const version = this.#position[table];
    const logged = this.#logs[table].listSince(after);
    const changes = logged ?? this.#listAll[table](nowMs);
    return {
      version,
      isComplete: logged === undefined,
      changes: changes.map((change) => this.#describeMissing(change, nowMs)),
    };
  }

  readonly #listAll: Readonly<
    Record<CatalogTable, (nowMs: number) => readonly CatalogChange[]>
  > = {
    servers: (nowMs) => this.#listServers(nowMs),
    orders: () => this.#listOrders(),
    crashes: () => this.#crashes.list(),
  };

  #listServers(nowMs: number): CatalogChange[] {
    const changes: CatalogChange[] = [];
    for (const { record, ...server } of this.#servers.values()) {
      const coldMs = Math.max(0, Math.round(server.coldUntilMs - nowMs));
      changes.push({ type: "server", record: { ...record, coldMs } });
      if (server.missingSinceMs === undefined) continue;
      changes.push({ type: "server_removed", id: record.id });
    }
    return changes;
  }

  #listOrders(): CatalogChange[] {
    const changes: CatalogChange[] = [...this.#evacuated].map((zone) => ({
      type: "evacuation",
      zone,
    }));
    const document = this.#document;
    if (document !== undefined) changes.push({ type: "document", document });
    return changes;
  }

  /** Reports the removal of a server as `server_missing` while the server may
   * still reappear. */
  #describeMissing(change: CatalogChange, nowMs: number): CatalogChange {
    if (change.type !== "server_removed") return change;
    const { id } = change;
    const sinceMs = this.#servers.get(id)?.missingSinceMs;
    return sinceMs === undefined
      ? change
      : { type: "server_missing", id, forMs: nowMs - sinceMs };
  }

  #applyDocument(document: RoutingDocument, version: number): void {
    // Never reverts to an older version.
    if (document.version <= (this.#document?.version ?? -1)) return;
    this.#document = document;
    this.#routes = createRouteIndex(document.routes);
    const change: CatalogChange = { type: "document", document };
    this.#logs.orders.add("document", change, version);
  }

  #applyRecord(
    record: ServerRecord,
    context: ChangeContext,
  ): void {
    if (this.#isOutdated(record)) return;
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
    const isChanged = current === undefined ||
      current.missingSinceMs !== undefined ||
      hasChanged(current.record, effective) ||
      untilMs > current.coldUntilMs + COLD_END_TOLERANCE_MS;
    if (isChanged) this.#byService = undefined;
    if (!isChanged && !isRelayed) return;
    const change: CatalogChange = { type: "server", record: effective };
    this.#logs.servers.add(record.id, change, version);
  }

  /** Removes a server that reports a zone of no known region. */
  #removeUnlocated(
    record: ServerRecord,
    { version, nowMs }: ChangeContext,
  ): void {
    const { id } = record;
    if (this.#servers.has(id)) {
      this.#logs.servers.add(id, { type: "server_removed", id }, version);
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
  #removeServer(id: string, context: ChangeContext): void {
    const current = this.#servers.get(id);
    const { nowMs, version } = context;
    const mayReturn = current?.record.state === "ready" &&
      nowMs - this.#storeRecoveredAtMs <= OUTAGE_RECOVERY_MS;
    if (mayReturn) return this.#markMissing(id, 0, context);
    if (current !== undefined) this.#removeWithTombstone(current.record, nowMs);
    const change: CatalogChange = { type: "server_removed", id };
    this.#logs.servers.add(id, change, version);
  }

  #markMissing(
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
    this.#logs.servers.add(id, change, version);
  }

  #removeWithTombstone(
    { id, bornMs, sequence }: ServerRecord,
    atMs: number,
  ): void {
    this.#servers.delete(id);
    // Keeps the map ordered by age, the oldest first.
    this.#tombstones.delete(id);
    this.#tombstones.set(id, { bornMs, sequence: sequence + 1, atMs });
    this.#byService = undefined;
  }

  #removeServers(
    changes: readonly CatalogChange[],
    context: ChangeContext,
  ): void {
    const listed = new Set(
      changes.map((change) => change.type === "server" ? change.record.id : ""),
    );
    for (const id of [...this.#servers.keys()]) {
      if (!listed.has(id)) this.#removeServer(id, context);
    }
  }

  #endEvacuations(changes: readonly CatalogChange[], version: number): void {
    const listed = new Set(
      changes.map((change) => change.type === "evacuation" ? change.zone : ""),
    );
    for (const zone of [...this.#evacuated]) {
      if (!listed.has(zone)) this.#setEvacuated(zone, false, version);
    }
  }

  #setEvacuated(zone: string, evacuated: boolean, version: number): void {
    const type = evacuated ? "evacuation" : "evacuation_ended";
    // Logged even if it changes nothing here, because followers may lack it.
    this.#logs.orders.add(`zone ${zone}`, { type, zone }, version);
    if (evacuated === this.#evacuated.has(zone)) return;
    if (evacuated) this.#evacuated.add(zone);
    else this.#evacuated.delete(zone);
    this.#byService = undefined;
  }

  #expire(nowMs: number): void {
    for (const server of this.#servers.values()) {
      const { missingSinceMs } = server;
      if (missingSinceMs === undefined) continue;
      if (nowMs - missingSinceMs < MISSING_GRACE_MS) continue;
      this.#removeWithTombstone(server.record, nowMs);
    }
    expireOldest(this.#tombstones, nowMs - TOMBSTONE_TTL_MS);
    expireOldest(this.#leaving, nowMs - LEAVING_TTL_MS);
  }

  #groupServers(): Map<string, TrackedServer[]> {
    const groups = new Map<string, TrackedServer[]>();
    for (const server of this.#servers.values()) {
      const { service, state, zone } = server.record;
      if (state !== "ready" || this.#evacuated.has(zone)) continue;
      const group = groups.get(service);
      if (group === undefined) groups.set(service, [server]);
      else group.push(server);
    }
    return groups;
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
function markTransientRemovals(
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
