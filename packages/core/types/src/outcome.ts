/**
 * Outcomes of a request as the caller sees them.
 *
 * @module
 */

import type { HeaderMap } from "./headers.ts";

/** Reason why a request did not run. */
export type NotRunReason =
  | "authority-lapsed"
  | "closing"
  | "deadline-too-short"
  | "group-closed"
  | "key-missing"
  | "link-budget"
  | "no-server"
  | "not-configured"
  | "not-owner"
  | "peer-unreachable"
  | "quarantined"
  | "queue-full"
  | "server-refused"
  | "shift-cap"
  | "store-unavailable"
  | "too-large";

/** Reason why it is unknown whether a request ran. */
export type UnknownReason =
  | "caller-left"
  | "connection-lost"
  | "deadline-passed"
  | "incomplete-answer"
  | "key-already-claimed"
  | "peer-lost";

/** A complete answer from a backend server. */
export interface Answered {
  readonly type: "answered";
  /** HTTP status that the backend server sent. */
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Instance id of the backend server. */
  readonly server: string;
}

/** No backend server ran the request, and none will. */
export interface NotRun {
  readonly type: "not-run";
  readonly reason: NotRunReason;
  /** Time in milliseconds to wait before another attempt. */
  readonly retryAfterMs: number;
  /** Address of the owner, if the reason is `not-owner` and it is known. */
  readonly ownerHint?: string;
}

/** A backend server may or may not have run the request. */
export interface OutcomeUnknown {
  readonly type: "unknown";
  readonly reason: UnknownReason;
}

/** The three outcomes of a request. */
export type Outcome = Answered | NotRun | OutcomeUnknown;
