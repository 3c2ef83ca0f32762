/**
 * Types of the placement of requests.
 *
 * @module
 */

import type { TrackedServer } from "@dotterelmoor/core.catalog";

/** A request that needs a server. */
export interface PlaceRequest {
  readonly service: string;
  /** Name of the route, which stands for the kind of request. */
  readonly route: string;
  /** The object that the request concerns, if the route is sticky. */
  readonly object: string | undefined;
  readonly targetLatencyMs: number;
  /** Time in milliseconds until the caller or the route gives up. */
  readonly remainingMs: number;
  /** Time in milliseconds since the request arrived at this entry. */
  readonly ageMs: number;
  readonly allowedRegions: readonly string[];
  /** Servers that this request was sent to already. */
  readonly excluded: ReadonlySet<string>;
  /** Requests per second that all entries may send to one cold server. */
  readonly coldPerSecond: number;
}

/** Why no server can take a request now. */
export type RefusalReason = "no-server" | "too-late";

/** What a refusal was decided by; for logs. */
export interface RefusalInputs {
  /** Servers that the request could have gone to. */
  readonly servers: number;
  /** The server that would have answered first. */
  readonly server?: string;
  /** Requests at that server, running and waiting. */
  readonly busy?: number;
  /** Time in milliseconds until its answer was expected, and the most that
   * would have been accepted. */
  readonly expectedMs?: number;
  readonly latestMs?: number;
}

/** A server for a request. */
export interface SendPlacement {
  readonly type: "send";
  readonly server: TrackedServer;
  /** Place of the server in the object's order; 0 is the first. */
  readonly rank: number;
  /** Time in milliseconds in which the answer is expected. */
  readonly expectedMs: number;
  /** True if the server has a free slot, as far as is known. */
  readonly hasSlot: boolean;
}

/** Where a request goes. */
export type Placement =
  | SendPlacement
  | {
    readonly type: "refuse";
    readonly reason: RefusalReason;
    /** Time in milliseconds after which there should be room. */
    readonly retryAfterMs: number;
    readonly inputs: RefusalInputs;
  };

/** Requests at a server as it reported them with an answer. */
export interface ServerLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** How a send ended, as far as it tells about the server. */
export type SendOutcome =
  | "answered"
  | "failed"
  | "shed"
  | "unreachable"
  | "abandoned";

/** The end of one send. */
export interface SendEnd {
  readonly outcome: SendOutcome;
  /** Time in milliseconds from the send to its end. */
  readonly elapsedMs: number;
  readonly load: ServerLoadReport | undefined;
}

/** A run that did not wait at its server. */
export interface RunObservation {
  readonly service: string;
  /** Name of the kind of request, as `getWorkName` gives it. */
  readonly work: string;
  readonly runMs: number;
}

/** What an entry saw since it told the last time. */
export interface Observations {
  /** Keys of the objects that its callers asked for. */
  readonly uses: readonly string[];
  readonly runs: readonly RunObservation[];
}
