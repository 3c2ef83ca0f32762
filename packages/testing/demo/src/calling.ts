/**
 * HTTP clients for the callers' and operators' interfaces and for the control
 * listeners of the simulators.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import got from "got";
import type { Method } from "got";
import { OPERATOR_TOKEN } from "./entry_environment.ts";
import type { RunningSystem } from "./system.ts";

const REQUEST_TIMEOUT_MS = 15_000;

/** Response of a lookup. */
export interface LookupResponse {
  readonly entries: readonly {
    readonly address: string;
    readonly zone: string;
    readonly region: string;
    readonly role: "preferred" | "spare";
  }[];
  /** Milliseconds for which a caller may reuse the response. */
  readonly ttlMs: number;
  /** Sequence number of the configuration that the entry applied. */
  readonly sequence: number;
  readonly reason: string;
  /** Idempotency key that the entry issued, if any. */
  readonly issuedKey?: string;
}

/** Options of `lookUp`. */
export interface LookupOptions {
  readonly service: string;
  /** Loopback address to connect from; it determines the home region. */
  readonly from: string;
}

/**
 * Looks up the entries that a caller should use for a service. Rejects on a
 * network error and on a status other than 2xx.
 */
export async function lookUp(
  callers: string,
  options: LookupOptions,
): Promise<LookupResponse> {
  return await got(`http://${callers}/v1/lookup`, {
    searchParams: { service: options.service },
    localAddress: options.from,
    timeout: { request: REQUEST_TIMEOUT_MS },
    retry: { limit: 0 },
  }).json();
}

/** Options of `sendRequest`. */
export interface SendRequestOptions {
  readonly service: string;
  readonly path: string;
  /** HTTP method, GET by default. */
  readonly method?: Method;
  /** Loopback address to connect from; it determines the home region. */
  readonly from: string;
  /** Idempotency key. */
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Response to a request; a header that is missing reads as "". */
export interface RequestResult {
  /** HTTP status. */
  readonly status: number;
  /** Header `dotterelmoor-outcome`. */
  readonly outcome: string;
  /** Header `dotterelmoor-reason`. */
  readonly reason: string;
  /** Header `dotterelmoor-server`. */
  readonly server: string;
  /** Random id that the request carried. */
  readonly requestId: string;
  readonly body: string;
}

/**
 * Sends a request through an entry, without retries. Resolves with any HTTP
 * status; rejects on a network error or after 15 s.
 */
export async function sendRequest(
  callers: string,
  options: SendRequestOptions,
): Promise<RequestResult> {
  const requestId = randomUUID();
  const response = await got(
    `http://${callers}/services/${options.service}${options.path}`,
    {
      method: options.method ?? "GET",
      body: options.body,
      headers: {
        "dotterelmoor-request-id": requestId,
        ...(options.key === undefined
          ? {}
          : { "idempotency-key": options.key }),
        ...options.headers,
      },
      localAddress: options.from,
      throwHttpErrors: false,
      timeout: { request: REQUEST_TIMEOUT_MS },
      retry: { limit: 0 },
    },
  );
  const readHeader = (name: string) => String(response.headers[name] ?? "");
  return {
    status: response.statusCode,
    outcome: readHeader("dotterelmoor-outcome"),
    reason: readHeader("dotterelmoor-reason"),
    server: readHeader("dotterelmoor-server"),
    requestId,
    body: response.body,
  };
}

/** Options of a call of the operators' interface. */
export interface CallOperatorApiOptions {
  /** HTTP method, GET by default. */
  readonly method?: Method;
  /** JSON body. */
  readonly json?: unknown;
}

/**
 * Calls the operators' interface of an entry as an administrator. Resolves with
 * any HTTP status; rejects on a network error or after 15 s.
 */
export async function callOperatorApi<T>(
  operators: string,
  path: string,
  options: CallOperatorApiOptions = {},
): Promise<{ readonly status: number; readonly body: T }> {
  const response = await got(`http://${operators}${path}`, {
    method: options.method ?? "GET",
    json: options.json,
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    throwHttpErrors: false,
    responseType: "json",
    timeout: { request: REQUEST_TIMEOUT_MS },
    retry: { limit: 0 },
  });
  return { status: response.statusCode, body: response.body as T };
}

/** Reads the counters of a simulator through its control listener. */
export async function readCounters<T>(controlUrl: string): Promise<T> {
  return await got(`${controlUrl}/counters`).json();
}

/** Sets the faults of a simulator through its control listener. */
export async function setFaults(
  controlUrl: string,
  faults: Readonly<Record<string, unknown>>,
): Promise<void> {
  await got.post(`${controlUrl}/faults`, { json: faults });
}

/**
 * Polls a condition every 20 ms until it holds and returns the elapsed
 * milliseconds. After the timeout, rejects with an error that contains `what`.
 */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  options: { readonly timeoutMs: number; readonly what: string },
): Promise<number> {
  const startedMs = performance.now();
  while (!await check()) {
    if (performance.now() - startedMs > options.timeoutMs) {
      throw new Error(
        `Timed out waiting for ${options.what} after ${options.timeoutMs} ms`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  return performance.now() - startedMs;
}

/** Limit for all groups to get an owner after a start, including the entries'
 * sessions and store reads. */
const GROUPS_TIMEOUT_MS = 15_000;

/**
 * Waits until the first entry reports at least `count` open groups. Rejects
 * after 15 s.
 */
export async function waitForGroups(
  system: RunningSystem,
  count: number,
): Promise<void> {
  const { operators } = system.entries[0]!;
  await waitUntil(async () => {
    const { body } = await callOperatorApi<
      { readonly groups: readonly { readonly value: { open: boolean } }[] }
    >(operators, "/v1/status");
    return body.groups.filter(({ value }) => value.open).length >= count;
  }, { timeoutMs: GROUPS_TIMEOUT_MS, what: "an owner for each group" });
}
