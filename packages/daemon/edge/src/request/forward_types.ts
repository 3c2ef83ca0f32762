/**
 * A request that is to be served, and what became of it.
 *
 * @module
 */

import type { RouteRecord } from "@dotterelmoor/core.catalog";
import type { RefusalInputs } from "@dotterelmoor/core.placing";
import type { QuarantineInputs } from "../process/crash_quarantine.ts";
import type { RequestOutcome } from "./outcomes.ts";

/** A request that is to be served. */
export interface ForwardRequest {
  /** The route that took the request when it arrived. */
  readonly route: RouteRecord;
  /** What selects a route, with the path. */
  readonly host: string;
  readonly requestId: string;
  /** Identifies the request over the attempts of its caller. */
  readonly fingerprint: string;
  readonly object: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Monotonic times of the arrival and of the final answer at the latest. */
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

/** Whether a server is in the regions of a route. */
export type SendPlace = "inside" | "outside";

/** One send of a request, for the decision log. */
export interface SendRecord {
  readonly server: string;
  readonly zone: string;
  readonly region: string;
  /** Version of the configuration that was in force at the send. */
  readonly configuration: number | undefined;
  /** Where the server is against the route's regions in that version;
   * undefined if the route has none, or nothing was written. */
  readonly place: SendPlace | undefined;
  /** Place of the server in the order of the request's object. */
  readonly rank: number;
  /** Time in milliseconds in which the answer was expected. */
  readonly expectedMs: number;
  readonly result: string;
  readonly elapsedMs: number;
}

/** The outcome of a request with its sends. */
export interface ForwardResult {
  readonly outcome: RequestOutcome;
  readonly sends: readonly SendRecord[];
  /** Service that was chosen last, if any was. */
  readonly service?: string;
  /** Why no server, or no further one, was tried. */
  readonly refusal?: {
    readonly reason: string;
    readonly inputs: RefusalInputs | QuarantineInputs | undefined;
  };
}
