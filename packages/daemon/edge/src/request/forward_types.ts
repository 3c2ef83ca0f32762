/**
 * Types of a request to forward and of its result.
 *
 * @module
 */

import type { RouteRecord } from "@dotterelmoor/core.catalog";
import type { HeaderMap } from "@dotterelmoor/core.types";
import type { RefusalInputs } from "@dotterelmoor/core.placing";
import type { RequestBody } from "@dotterelmoor/network.backend";
import type { QuarantineInputs } from "../process/crash_quarantine.ts";
import type { RequestOutcome } from "./outcomes.ts";

/** A request to forward to a backend server. */
export interface ForwardRequest {
  /** The route that matched when the request arrived. */
  readonly route: RouteRecord;
  /** Host header; selects the route together with the path. */
  readonly host: string;
  readonly requestId: string;
  /** Identifies the request across its caller's retries, which have different
   * request ids. */
  readonly fingerprint: string;
  /** Affinity key; undefined if the caller named none. */
  readonly object: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: RequestBody;
  /** Monotonic times in milliseconds of the arrival and of the deadline for the
   * answer. */
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Monotonic time in milliseconds at which the process exits; infinite unless
   * it is leaving. */
  readonly exitsAtMs: () => number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Whether a server is in one of the regions that a route allows. */
export type RegionMatch = "inside" | "outside";

/** One attempt to send a request to a server, for the decision log. */
export interface SendRecord {
  readonly server: string;
  readonly zone: string;
  readonly region: string;
  /** Version of the configuration in force when the first byte was written;
   * undefined if nothing was written. */
  readonly configuration: number | undefined;
  /** Whether the server is in the regions that the route allows in that
   * version; undefined if the route allows all, or nothing was written. */
  readonly place: RegionMatch | undefined;
  /** Rank of the server in the preference order of the request's object. */
  readonly rank: number;
  /** Expected latency of the answer in milliseconds. */
  readonly expectedMs: number;
  readonly result: string;
  /** Status of the server's answer or refusal; undefined if none came. */
  readonly status: number | undefined;
  /** Number of the connection to the server; undefined if nothing was
   * written. */
  readonly connection: number | undefined;
  readonly elapsedMs: number;
}

/** The outcome of a request and its sends. */
export interface ForwardResult {
  readonly outcome: RequestOutcome;
  readonly sends: readonly SendRecord[];
  /** The service that was chosen last; undefined if none was. */
  readonly service?: string;
  /** Why no server, or no further server, was tried. */
  readonly refusal?: {
    readonly reason: string;
    readonly inputs: RefusalInputs | QuarantineInputs | undefined;
  };
}
