/**
 * Data types of the catalog; all of them can be sent between entries.
 *
 * @module
 */

import type { CrashNote } from "@dotterelmoor/core.quarantine";

/** Record that a backend server writes about itself. */
export interface ServerRecord {
  readonly id: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly zone: string;
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Remaining time in milliseconds for which the server is cold. */
  readonly coldMs: number;
  /** Start time of the server in milliseconds since 1970. */
  readonly bornMs: number;
  /** Increases with each report since that start. */
  readonly sequence: number;
  /** Version of the server's software, if reported. */
  readonly software?: string | undefined;
}

/** Target service of a route, with its weight in the split. */
export interface SplitTarget {
  readonly service: string;
  readonly weight: number;
}

/** A route of the configuration. */
export interface RouteRecord {
  readonly name: string;
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  /** False if a request must run at most once. */
  readonly repeatable: boolean;
  /** Time in milliseconds after which a request gets its final answer. */
  readonly timeoutMs: number;
  /** Time in milliseconds within which an answer is on time. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly SplitTarget[];
  /** Number of servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** True if a server answers faster for objects that it handled before. */
  readonly sticky: boolean;
  /** Regions whose servers may run the requests; empty for all. */
  readonly allowedRegions: readonly string[];
}

/** A service of the configuration. */
export interface ServiceRecord {
  readonly name: string;
  readonly maxConnections: number;
  /** Requests per second that all entries together may send to a cold
   * server. */
  readonly coldPerSecond: number;
}

/** Limits on requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Routing configuration at one version. */
export interface RoutingDocument {
  readonly version: number;
  readonly routes: readonly RouteRecord[];
  readonly services: readonly ServiceRecord[];
  readonly limits: CallerLimits;
}

/** One change read from the platform's store. */
export type CatalogChange =
  | { readonly type: "server"; readonly record: ServerRecord }
  | { readonly type: "server_removed"; readonly id: string }
  /** The record disappeared right after a store outage, and may reappear. */
  | {
    readonly type: "server_missing";
    readonly id: string;
    /** Time in milliseconds for which the record has been missing. */
    readonly forMs: number;
  }
  | { readonly type: "document"; readonly document: RoutingDocument }
  | { readonly type: "evacuation"; readonly zone: string }
  | { readonly type: "evacuation_ended"; readonly zone: string }
  | { readonly type: "crash_note"; readonly note: CrashNote }
  | { readonly type: "crash_note_removed"; readonly key: string }
  | {
    readonly type: "unreadable";
    readonly key: string;
    readonly reason: string;
  };

/** Tables of the platform's store that a catalog replicates: server records,
 * the routing document with evacuations, and crash notes. */
export type CatalogTable = "servers" | "orders" | "crashes";

/** Store version up to which each table was replicated. All entries read the
 * same store, so positions are valid across catalogs. */
export interface CatalogPosition {
  readonly servers: number;
  readonly orders: number;
  /** Undefined for entries of earlier versions, which do not share crashes. */
  readonly crashes?: number | undefined;
  /** Eras of the versions; undefined if all of them are 0. */
  readonly eras?: Readonly<Partial<Record<CatalogTable, number>>> | undefined;
  /** Version of the routing document; undefined if none is known. */
  readonly document?: number | undefined;
}

/** Content or changes of one table as of a position in the store's history. */
export interface TableUpdate {
  /** Era of the version; undefined for 0, and for a store that does not state
   * it. */
  readonly era?: number;
  /** True if the store states an era that is no number. */
  readonly hasUnreadableEra?: boolean;
  readonly version: number;
  /** True if `changes` lists the whole table, so that rows not listed are
   * removed. */
  readonly isComplete: boolean;
  readonly changes: readonly CatalogChange[];
}

/** Updates that an entry sends to another entry at an older position. */
export interface CatalogDelta {
  readonly servers: TableUpdate;
  readonly orders: TableUpdate;
  readonly crashes?: TableUpdate | undefined;
}

/** A server's record and the local state of this entry about it. */
export interface TrackedServer {
  readonly record: ServerRecord;
  readonly region: string;
  /** Monotonic time in milliseconds until which the server is cold. */
  readonly coldUntilMs: number;
  /** Monotonic time in milliseconds at which the record disappeared; undefined
   * if it is not missing. */
  readonly missingSinceMs: number | undefined;
}
