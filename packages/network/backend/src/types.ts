/**
 * Public types of the backend client.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { HeaderMap } from "@dotterelmoor/core.types";
import type { BudgetRejection } from "./answer_budget.ts";
import type { ServerProtocol } from "./protocol.ts";

/** Options of a backend client. */
export interface BackendClientOptions {
  /** Largest number of open connections per backend server; further sends wait
   * for one. */
  readonly maxConnectionsPerServer?: number;
  /** Largest response body in bytes; a larger one gives `incomplete_answer`. */
  readonly maxAnswerBytes?: number;
  /** Bytes that all response bodies being read may take together; beyond them,
   * the largest give `incomplete_answer`. */
  readonly maxAnswersBytes?: number;
  /** Called when a response is rejected because of `maxAnswersBytes`. */
  readonly onAnswerRejected?: (rejection: AnswerRejection) => void;
  /** Time in milliseconds for opening a connection. */
  readonly connectTimeoutMs?: number;
  /** Time in milliseconds after which an idle connection is closed. */
  readonly idleMs?: number;
  /** Headers and rules of the servers; by default those of the product's own
   * deployments. */
  readonly protocol?: ServerProtocol;
}

/** A response that was rejected because all together took too much. */
export interface AnswerRejection extends BudgetRejection {
  /** `host:port` of the backend server. */
  readonly address: string;
}

/** The body of a request: whole, or its parts in order. */
export type RequestBody = Uint8Array | readonly Uint8Array[];

/** One request to one backend server. */
export interface BackendRequest {
  /** `host:port` of the backend server. */
  readonly address: string;
  readonly method: string;
  /** Path and query, beginning with `/`. */
  readonly path: string;
  /** Headers of the caller. */
  readonly headers: HeaderMap;
  /** Headers that take the place of the caller's, and go first. */
  readonly ownHeaders?: Readonly<Record<string, string>>;
  readonly body?: RequestBody;
  /** Time in milliseconds after which the response is no longer needed. */
  readonly deadlineMs: number;
  readonly requestId: string;
  /** Cancels the request and closes its connection. */
  readonly signal?: AbortSignal;
  /**
   * Returns the longest time in milliseconds that the server may work. Called
   * on an open connection in the same turn of the event loop as the write; a
   * limit below 1 stops the send (design page, D4).
   */
  readonly workLimitMs?: () => number;
  /** Called when the first byte is written, with the number of the connection:
   * unique in the process. */
  readonly onWrite?: (connection: number) => void;
  /** Called with the head of the server's response, also with that of a
   * refusal. */
  readonly onHead?: (status: number, headers: IncomingHttpHeaders) => void;
}

/** Result of one send. */
export type BackendResult =
  | {
    readonly type: "answered";
    readonly status: number;
    readonly headers: HeaderMap;
    readonly body: Uint8Array;
  }
  /** The server refused before running the request. */
  | { readonly type: "refused"; readonly draining: boolean }
  /** No connection opened, so no byte of the request was sent. */
  | { readonly type: "connection_refused" }
  /** No byte was sent: no time was left, or HTTP cannot carry the request. */
  | { readonly type: "not_authorized" }
  /** The connection ended without a response; the request may have run. */
  | { readonly type: "connection_lost" }
  /** The deadline passed; the request may have run. */
  | { readonly type: "timed_out" }
  /** The response started but was truncated, too large or not valid; the
   * request may have run. */
  | { readonly type: "incomplete_answer" }
  /** The signal was aborted; `sent` is true if bytes may have been sent. */
  | { readonly type: "cancelled"; readonly sent: boolean };

/** Response of the health endpoint of a backend server. */
export type HealthResult =
  | {
    readonly type: "health";
    readonly state: "ok" | "draining" | "cold";
    readonly inFlight: number;
    readonly slots: number;
  }
  | { readonly type: "connection_refused" }
  | { readonly type: "unavailable" };

/** Whether a process listens at an address: `silent` if nothing responds in
 * time, for example because the network path is down. */
export type ListenState = "accepts" | "refuses" | "silent";

/** Client for all backend servers of one process; no method throws or
 * rejects. */
export interface BackendClient {
  /** Sends a request without retries. */
  send(request: BackendRequest): Promise<BackendResult>;
  /** Sends `GET /health` on a new connection. */
  fetchHealth(address: string, timeoutMs: number): Promise<HealthResult>;
  /** Opens a connection to check whether a server still accepts them. */
  checkListening(address: string, timeoutMs: number): Promise<ListenState>;
  /** Closes all connections; sends in progress end as lost. */
  close(): void;
}
