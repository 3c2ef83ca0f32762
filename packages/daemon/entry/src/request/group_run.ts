/**
 * One run of a request at a group owner.
 *
 * @module
 */

import type { Outcome } from "@dotterelmoor/core.types";
import type { Execution } from "./execution.ts";

/** A request that waits or is in flight at its group owner. */
export interface GroupRun {
  readonly execution: Execution;
  readonly abort: AbortController;
  readonly resolve: (outcome: Outcome) => void;
  /** Servers that must not get this run. */
  readonly avoid: readonly string[];
  /** Time of the admission that counts for the cap, of a shifted request. */
  readonly admittedAtMs: number | undefined;
  /** Set when the request is handed to the client of a server. */
  isSent: boolean;
  /** True for the second run of a request. */
  readonly retried: boolean;
  /** Parts of the HTTP request that do not depend on the server. */
  readonly request: GroupRunRequest;
}

/** HTTP request of a run. */
export interface GroupRunRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly requestId: string;
}

/** Options of `createGroupRun`. */
export interface GroupRunOptions {
  readonly execution: Execution;
  readonly resolve: (outcome: Outcome) => void;
  readonly abort: AbortController;
  readonly avoid: readonly string[];
  readonly admittedAtMs: number | undefined;
}

/** Creates a run; a run that avoids a server is a retry. */
export function createGroupRun(options: GroupRunOptions): GroupRun {
  const { execution } = options;
  return {
    execution,
    abort: options.abort,
    resolve: options.resolve,
    avoid: options.avoid,
    admittedAtMs: options.admittedAtMs,
    isSent: false,
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
