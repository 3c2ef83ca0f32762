/**
 * Plain data of the catalog; all of it can travel between entries.
 *
 * @module
 */

import type { CrashNote } from "@dotterelmoor/core.quarantine";

/** What a backend server says of itself. */
export interface ServerRecord {
  readonly id: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly zone: string;
  /** Requests that the server runs at the same time. */
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Time in milliseconds for which the server stays cold from now. */
  readonly coldMs: number;
  /** Start of the server in milliseconds since 1970. */
  readonly bornMs: number;
  /** Grows with each report of one start of the server. */
  readonly sequence: number;
  /** Version of its software, if it says so. */
  readonly software?: string | undefined;
}

/** One service that a route leads to, with its share of the requests. */
export interface SplitTarget {
  readonly service: string;
  readonly weight: number;
}

/** A route of the configuration. */
export interface RouteRecord {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** False when a request may run at most once. */
  readonly repeatable: boolean;
  /** Time in milliseconds after which a request gets its final answer. */
  readonly timeoutMs: number;
  /** Time in milliseconds within which an answer is on time. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly SplitTarget[];
  /** Servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** True when a server answers faster for objects that it handled before. */
  readonly sticky: boolean;
  /** Regions whose servers may run the requests; empty for all. */
  readonly allowedRegions: readonly string[];
}

/** A service of the configuration. */
export interface ServiceRecord {
  readonly name: string;
  readonly maxConnections: number;
  /** Requests per second that all entries together may send a cold server. */
  readonly coldPerSecond: number;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The configuration at one version. */
export interface RoutingDocument {
  readonly version: number;
  readonly routes: readonly RouteRecord[];
  readonly services: readonly ServiceRecord[];
  readonly limits: CallerLimits;
}

/** One change that a reader of the platform's store reports. */
export type CatalogChange =
  | { readonly type: "server"; readonly record: ServerRecord }
  | { readonly type: "server_removed"; readonly id: string }
  /** The record lapsed right after an outage of the store; it may return. */
  | {
    readonly type: "server_missing";
    readonly id: string;
    /** Time in milliseconds for which it has been missing. */
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

/** Tables of the platform's store that a catalog is built from. */
export type CatalogTable = "servers" | "orders" | "crashes";

/** Versions of the store up to which the tables are known. Entries read the
 * same store, so a position in one catalog holds for every other. */
export interface CatalogPosition {
  readonly servers: number;
  readonly orders: number;
  /** Entries of an earlier version of this program do not tell crashes. */
  readonly crashes?: number | undefined;
}

/** What is known of one table at one version of the store. */
export interface TableUpdate {
  readonly version: number;
  /** True if what is not listed is gone; else only changes are listed. */
  readonly isComplete: boolean;
  readonly changes: readonly CatalogChange[];
}

/** What an entry passes on to another one that is at an older position. */
export interface CatalogDelta {
  readonly servers: TableUpdate;
  readonly orders: TableUpdate;
  readonly crashes?: TableUpdate | undefined;
}

/** A server with what this entry adds to its record. */
export interface TrackedServer {
  readonly record: ServerRecord;
  readonly region: string;
  /** Monotonic time at which the server stops being cold. */
  readonly coldUntilMs: number;
  /** Monotonic time since which its record is missing, if it is. */
  readonly missingSinceMs: number | undefined;
}
