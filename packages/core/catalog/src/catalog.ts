/**
 * Catalog of routes, servers, evacuations and crash notes of one entry.
 *
 * @module
 */

import type { CrashNotes } from "@dotterelmoor/core.quarantine";
import { applyEvent } from "@dotterelmoor/core.types";
import type { EventHandlers } from "@dotterelmoor/core.types";
import type { ChangeContext } from "./change_context.ts";
import { ChangeLog } from "./change_log.ts";
import { CrashTable } from "./crash_table.ts";
import { DocumentTable } from "./document_table.ts";
import { Evacuations } from "./evacuations.ts";
import type { RouteIndex } from "./route_index.ts";
import {
  markTransientRemovals,
  MISSING_GRACE_MS,
  ServerTable,
} from "./server_table.ts";
import {
  comparePositions,
  getPosition,
  getUpdatePosition,
  UNKNOWN_POSITION,
} from "./store_position.ts";
import type { StorePosition } from "./store_position.ts";
import type {
  CatalogChange,
  CatalogDelta,
  CatalogPosition,
  CatalogTable,
  RoutingDocument,
  TableUpdate,
  TrackedServer,
} from "./types.ts";

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
  /** Store version up to which each table was applied, 0 if it never was, with
   * its era. */
  readonly position:
    & CatalogPosition
    & Readonly<Record<CatalogTable, number>>;
  /** Latest era of the store's history that an update was of; updates of earlier
   * ones are ignored, and tables that are behind must be read whole. */
  readonly era: number;
  /** Returns the changes since a position, or whole tables where the change log
   * does not reach back so far. Plain heartbeats are not changes. */
  changesSince(position: CatalogPosition, nowMs: number): CatalogDelta;
}

/** Handle the rows that a whole table does not list. */
type WholeTableHandlers = Readonly<
  Record<
    CatalogTable,
    (changes: readonly CatalogChange[], context: ChangeContext) => void
  >
>;

/** Creates an empty catalog. */
export function createCatalog(options: CatalogOptions): Catalog {
  return new PlatformCatalog(options);
}

class PlatformCatalog implements Catalog {
  readonly #logs: Readonly<Record<CatalogTable, ChangeLog>> = {
    servers: new ChangeLog(),
    orders: new ChangeLog(),
    crashes: new ChangeLog(),
  };
  readonly #positions: Record<CatalogTable, StorePosition> = {
    servers: UNKNOWN_POSITION,
    orders: UNKNOWN_POSITION,
    crashes: UNKNOWN_POSITION,
  };
  #era = 0;
  readonly #crashes = new CrashTable(this.#logs.crashes);
  readonly #documents = new DocumentTable(this.#logs.orders);
  readonly #servers: ServerTable;
  readonly #evacuations: Evacuations;
  #byService: Map<string, TrackedServer[]> | undefined;

  readonly #handlers: EventHandlers<CatalogChange, void, ChangeContext> = {
    server: ({ record }, context) => this.#servers.apply(record, context),
    server_removed: ({ id }, context) => this.#servers.remove(id, context),
    server_missing: ({ id, forMs }, context) =>
      this.#servers.markMissing(id, forMs, context),
    document: ({ document }, context) =>
      this.#documents.apply(document, context),
    evacuation: ({ zone }, { version }) =>
      this.#evacuations.set(zone, true, version),
    evacuation_ended: ({ zone }, { version }) =>
      this.#evacuations.set(zone, false, version),
    crash_note: ({ note }, { version }) => this.#crashes.add(note, version),
    crash_note_removed: ({ key }, { version }) =>
      this.#crashes.remove(key, version),
    unreadable: () => {},
  };

  readonly #removeUnlisted: WholeTableHandlers = {
    servers: (changes, context) =>
      this.#servers.removeUnlisted(changes, context),
    orders: (changes, { version }) =>
      this.#evacuations.endUnlisted(changes, version),
    crashes: (changes, { version }) =>
      this.#crashes.removeUnlisted(changes, version),
  };

  /** What a whole table of a new era does not list may be lost, not removed. */
  readonly #keepUnlisted: WholeTableHandlers = {
    servers: (changes, context) =>
      this.#servers.removeUnlisted(changes, context),
    orders: (changes, { nowMs }) =>
      this.#evacuations.markUnlisted(changes, nowMs),
    crashes: () => {},
  };

  constructor(options: CatalogOptions) {
    const onChanged = () => {
      this.#byService = undefined;
    };
    this.#servers = new ServerTable({
      zones: options.zones,
      log: this.#logs.servers,
      onChanged,
    });
    this.#evacuations = new Evacuations({
      log: this.#logs.orders,
      onChanged,
      graceMs: MISSING_GRACE_MS,
    });
  }

  get document(): RoutingDocument | undefined {
    return this.#documents.document;
  }

  get routes(): RouteIndex | undefined {
    return this.#documents.routes;
  }

  get crashNotes(): CrashNotes {
    return this.#crashes.notes;
  }

  applyTable(table: CatalogTable, update: TableUpdate, nowMs: number): void {
    this.#apply(table, update, { nowMs, isRelayed: false });
  }

  applyDelta(delta: CatalogDelta, nowMs: number): void {
    const { servers, orders, crashes } = delta;
    const context = { nowMs, isRelayed: true };
    if (crashes !== undefined) this.#apply("crashes", crashes, context);
    this.#apply("orders", orders, context);
    this.#apply("servers", servers, context);
  }

  #apply(
    table: CatalogTable,
    update: TableUpdate,
    { nowMs, isRelayed }: Pick<ChangeContext, "isRelayed" | "nowMs">,
  ): void {
    const { isComplete, changes } = update;
    const position = getUpdatePosition(update);
    const current = this.#positions[table];
    // Changes of an entry that lags behind have been applied already; those of
    // an earlier history do not hold any more.
    const isOutdated = position.era < this.#era ||
      comparePositions(position, current) < 0;
    const isNewEra = position.era > current.era;
    if (isOutdated && isRelayed) this.#applyRelayedDocument(update);
    // Only a whole table says what a new history holds.
    if (isOutdated || (isNewEra && !isComplete)) return;
    this.#era = position.era;
    this.#positions[table] = position;
    // A whole table lacks rows that were added and removed since. A follower
    // may know the addition without the removal, so it must get the whole table
    // too.
    const isFirst = current.version === 0;
    if (isComplete || isFirst) this.#logs[table].restart(position);
    const hasLost = isNewEra && !isFirst;
    if (hasLost) this.#servers.markStoreRecovered(nowMs);
    const context = { ...position, nowMs, isRelayed, hasLost };
    for (const change of markTransientRemovals(changes)) {
      applyEvent(this.#handlers, change, context);
    }
    if (!isComplete) return;
    const handlers = hasLost ? this.#keepUnlisted : this.#removeUnlisted;
    handlers[table](changes, context);
  }

  markLeaving(id: string, bornMs: number, nowMs: number): void {
    this.#servers.markLeaving(id, bornMs, nowMs);
  }

  markStoreRecovered(nowMs: number): void {
    this.#servers.markStoreRecovered(nowMs);
  }

  isEvacuated(zone: string): boolean {
    return this.#evacuations.has(zone);
  }

  findServers(service: string, nowMs: number): readonly TrackedServer[] {
    this.#expire(nowMs);
    this.#byService ??= this.#groupServers();
    return this.#byService.get(service) ?? [];
  }

  get position(): Catalog["position"] {
    const { servers, orders, crashes } = this.#positions;
    return {
      servers: servers.version,
      orders: orders.version,
      crashes: crashes.version,
      ...(this.#era === 0 ? {} : {
        eras: {
          servers: servers.era,
          orders: orders.era,
          crashes: crashes.era,
        },
      }),
      ...(this.document === undefined
        ? {}
        : { document: this.document.version }),
    };
  }

  get era(): number {
    return this.#era;
  }

  changesSince(position: CatalogPosition, nowMs: number): CatalogDelta {
    this.#expire(nowMs);
    return {
      servers: this.#buildUpdate("servers", position, nowMs),
      orders: this.#buildUpdate("orders", position, nowMs),
      crashes: this.#buildUpdate("crashes", position, nowMs),
    };
  }

  #buildUpdate(
    table: CatalogTable,
    after: CatalogPosition,
    nowMs: number,
  ): TableUpdate {
    const { era, version } = this.#positions[table];
    const logged = this.#logs[table].listSince(getPosition(after, table));
    // In the first era, nothing was lost.
    const mayLack = table === "orders" && era > 0 && logged !== undefined;
    const kept = mayLack
      ? this.#documents.listKept(after.document, logged)
      : [];
    const changes = [...(logged ?? this.#listAll[table](nowMs)), ...kept];
    return {
      ...(era === 0 ? {} : { era }),
      version,
      isComplete: logged === undefined,
      changes: changes.map((change) =>
        this.#servers.describeMissing(change, nowMs)
      ),
    };
  }

  readonly #listAll: Readonly<
    Record<CatalogTable, (nowMs: number) => readonly CatalogChange[]>
  > = {
    servers: (nowMs) => this.#servers.list(nowMs),
    orders: () => [...this.#evacuations.list(), ...this.#documents.list()],
    crashes: () => this.#crashes.list(),
  };

  /** Applies the document of an entry that is behind in the same era: it may keep
   * one that the store has lost. */
  #applyRelayedDocument(update: TableUpdate): void {
    const position = getUpdatePosition(update);
    // In the first era, nothing was lost.
    if (this.#era === 0 || position.era !== this.#era) return;
    const { version } = this.#positions.orders;
    for (const change of update.changes) {
      if (change.type !== "document") continue;
      this.#documents.apply(change.document, { era: this.#era, version });
    }
  }

  #expire(nowMs: number): void {
    this.#servers.expire(nowMs);
    this.#evacuations.expire(nowMs);
  }

  #groupServers(): Map<string, TrackedServer[]> {
    const groups = new Map<string, TrackedServer[]>();
    for (const server of this.#servers.all) {
      const { service, state, zone } = server.record;
      if (state !== "ready" || this.#evacuations.has(zone)) continue;
      const group = groups.get(service);
      if (group === undefined) groups.set(service, [server]);
      else group.push(server);
    }
    return groups;
  }
}
