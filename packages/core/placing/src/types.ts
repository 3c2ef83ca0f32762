/**
 * Types of the placement of requests.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";

/** A request that needs a server. */
export interface PlaceRequest {
  readonly service: string;
  /** Name of the route, which identifies the kind of request. */
  readonly route: string;
  /** Affinity key of the request; undefined unless the route is sticky. */
  readonly object: string | undefined;
  readonly targetLatencyMs: number;
  /** Time in milliseconds until the caller or the route gives up. */
  readonly remainingMs: number;
  /** Time in milliseconds since the request arrived at this entry. */
  readonly ageMs: number;
  /** Regions whose servers may run the request; empty for all regions. */
  readonly allowedRegions: readonly string[];
  /** Ids of the servers that this request was already sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Requests per second that all entries together may send to one cold
   * server. */
  readonly coldPerSecond: number;
}

/** Why a request was refused. */
export type RefusalReason = "no-server" | "too-late";

/** Inputs of the decision to refuse a request; for logs. */
export interface RefusalInputs {
  /** Number of servers of the service; 0 if none is usable. */
  readonly servers: number;
  /** Id of the server with the lowest cost. */
  readonly server?: string;
  /** Requests at that server, running and waiting. */
  readonly busy?: number;
  /** Expected time in milliseconds until its answer. */
  readonly expectedMs?: number;
  /** Longest time in milliseconds that would have been accepted. */
  readonly latestMs?: number;
}

/** A server chosen for a request. */
export interface SendPlacement {
  readonly type: "send";
  readonly server: TrackedServer;
  /** Position of the server in the object's preference order, from 0. */
  readonly rank: number;
  /** Expected time in milliseconds until the answer. */
  readonly expectedMs: number;
  /** True if the server's estimated load leaves a free slot. */
  readonly hasSlot: boolean;
}

/** Result of placing a request. */
export type Placement =
  | SendPlacement
  | {
    readonly type: "refuse";
    readonly reason: RefusalReason;
    /** Time in milliseconds after which a retry is expected to succeed. */
    readonly retryAfterMs: number;
    readonly inputs: RefusalInputs;
  };

/** Load that a server reported with an answer. */
export interface ServerLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** How a send ended, in terms of the server's health. */
export type SendOutcome =
  | "answered"
  | "failed"
  | "shed"
  | "unreachable"
  | "abandoned";

/** End of one send. */
export interface SendEnd {
  readonly outcome: SendOutcome;
  /** Time in milliseconds from the send to its end. */
  readonly elapsedMs: number;
  readonly load: ServerLoadReport | undefined;
}

/** Run time of a request that did not wait in its server's queue. */
export interface RunObservation {
  readonly service: string;
  /** Kind of request, as returned by `getWorkName`. */
  readonly work: string;
  readonly runMs: number;
}

/** Observations of one entry since its last report. */
export interface Observations {
  /** Keys of the objects that its callers requested. */
  readonly uses: readonly string[];
  readonly runs: readonly RunObservation[];
}
