/**
 * A single run of a request at a group owner.
 *
 * @module
 */

import type { HeaderMap, Outcome } from "@dotterelmoor/core.types";
import type { Execution } from "./execution.ts";

/** A run that is queued or in flight at its group owner. */
export interface GroupRun {
  readonly execution: Execution;
  /** Aborted when the caller no longer waits. */
  readonly signal: AbortSignal;
  readonly resolve: (outcome: Outcome) => void;
  /** Servers that must not receive this run. */
  readonly avoid: readonly string[];
  /** Time of admission under the shift cap; undefined if not shifted. */
  readonly admittedAtMs: number | undefined;
  /** Set when the request is passed to the backend client. */
  isSent: boolean;
  /** Cancels the current send; undefined if there is none or it was recalled. */
  send: AbortController | undefined;
  /** True if this is the second run of its request. */
  readonly retried: boolean;
  /** Parts of the HTTP request that do not depend on the server. */
  readonly request: GroupRunRequest;
}

/** HTTP request of a run, without the address of the server. */
export interface GroupRunRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  readonly requestId: string;
}

/** Options of `createGroupRun`. */
export interface GroupRunOptions {
  readonly execution: Execution;
  readonly resolve: (outcome: Outcome) => void;
  readonly signal: AbortSignal;
  readonly avoid: readonly string[];
  readonly admittedAtMs: number | undefined;
}

/** Creates a run; a run that avoids a server is a retry. */
export function createGroupRun(options: GroupRunOptions): GroupRun {
  const { execution } = options;
  return {
    execution,
    signal: options.signal,
    resolve: options.resolve,
    avoid: options.avoid,
    admittedAtMs: options.admittedAtMs,
    isSent: false,
    send: undefined,
    retried: options.avoid.length > 0,
    request: {
      method: execution.method,
      path: execution.path,
      headers: execution.headers,
      body: execution.body,
      requestId: execution.requestId,
    },
  };
}
