/**
 * Public types of the backend client.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { ServerProtocol } from "./protocol.ts";

/** Settings of a backend client. */
export interface BackendClientOptions {
  /** Open connections to one backend server; further sends wait for one. */
  readonly maxConnectionsPerServer?: number;
  /** Largest answer body in bytes; a larger one is an incomplete answer. */
  readonly maxAnswerBytes?: number;
  /** Time in milliseconds for opening a connection. */
  readonly connectTimeoutMs?: number;
  /** Time in milliseconds after which an idle connection is closed. */
  readonly idleMs?: number;
  /** Names agreed with the servers; the product's own ones by default. */
  readonly protocol?: ServerProtocol;
}

/** One request to one backend server. */
export interface BackendRequest {
  /** `host:port` of the backend server. */
  readonly address: string;
  readonly method: string;
  /** Path and query, beginning with `/`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /** Time in milliseconds until the answer is of no more use. */
  readonly deadlineMs: number;
  readonly requestId: string;
  /** Cancels the request and closes its connection. */
  readonly signal?: AbortSignal;
  /**
   * Upper bound in milliseconds on the time that the server may work. It is
   * evaluated on an open connection in the same turn of the event loop as the
   * write, and a bound of 0 or less stops the send (design page, D4).
   */
  readonly workLimitMs?: () => number;
  /** Told of the head of the server's answer, also of one that refuses. */
  readonly onHead?: (status: number, headers: IncomingHttpHeaders) => void;
}

/** What became of one send. */
export type BackendResult =
  | {
    readonly type: "answered";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
  }
  /** The server refused before running the request. */
  | { readonly type: "refused"; readonly draining: boolean }
  /** No byte of the request was sent. */
  | { readonly type: "connection_refused" }
  /** No byte was sent: no time was left, or HTTP cannot carry the request. */
  | { readonly type: "not_authorized" }
  /** The connection ended without an answer; the request may have run. */
  | { readonly type: "connection_lost" }
  /** The deadline passed; the request may have run. */
  | { readonly type: "timed_out" }
  /** The answer began but was cut or too large; the request may have run. */
  | { readonly type: "incomplete_answer" }
  /** The signal was aborted; `sent` tells whether bytes may have been sent. */
  | { readonly type: "cancelled"; readonly sent: boolean };

/** What the health endpoint of a backend server answered. */
export type HealthResult =
  | {
    readonly type: "health";
    readonly state: "ok" | "draining" | "cold";
    readonly inFlight: number;
    readonly slots: number;
  }
  | { readonly type: "connection_refused" }
  | { readonly type: "unavailable" };

/** Whether a process listens at an address: `silent` if nothing answers in
 * time, as behind a path that is cut. */
export type ListenState = "accepts" | "refuses" | "silent";

/** Client of all backend servers of one process; no method throws. */
export interface BackendClient {
  /** Sends one request once. */
  send(request: BackendRequest): Promise<BackendResult>;
  /** Asks `GET /health` on a connection of its own. */
  fetchHealth(address: string, timeoutMs: number): Promise<HealthResult>;
  /** Tells whether a server still accepts connections, by opening one. */
  checkListening(address: string, timeoutMs: number): Promise<ListenState>;
  /** Closes all connections; sends in progress end as lost. */
  close(): void;
}
