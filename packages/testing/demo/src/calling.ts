/**
 * Calls a system as its callers and operators do.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import got from "got";
import type { Method } from "got";
import { OPERATOR_TOKEN } from "./entry_environment.ts";
import type { RunningSystem } from "./system.ts";

const TIMEOUT_MS = 15_000;

/** Entries that a look-up names. */
export interface LookupView {
  readonly entries: readonly {
    readonly address: string;
    readonly zone: string;
    readonly region: string;
    readonly role: "preferred" | "spare";
  }[];
  readonly ttlMs: number;
  readonly sequence: number;
  readonly reason: string;
  readonly issuedKey?: string;
}

/** Options of `lookUp`. */
export interface LookUpOptions {
  readonly service: string;
  /** Loopback address that the call comes from; it decides the home region. */
  readonly from: string;
}

/** Asks an entry which entries to use. */
export async function lookUp(
  callers: string,
  options: LookUpOptions,
): Promise<LookupView> {
  return await got(`http://${callers}/v1/lookup`, {
    searchParams: { service: options.service },
    localAddress: options.from,
    timeout: { request: TIMEOUT_MS },
    retry: { limit: 0 },
  }).json();
}

/** Options of `sendRequest`. */
export interface SendRequestOptions {
  readonly service: string;
  readonly path: string;
  readonly method?: Method;
  readonly from: string;
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** What a caller got. */
export interface RequestView {
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
  readonly server: string;
  readonly requestId: string;
  readonly body: string;
}

/** Sends one request once; never retries. */
export async function sendRequest(
  callers: string,
  options: SendRequestOptions,
): Promise<RequestView> {
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
      timeout: { request: TIMEOUT_MS },
      retry: { limit: 0 },
    },
  );
  const read = (name: string) => String(response.headers[name] ?? "");
  return {
    status: response.statusCode,
    outcome: read("dotterelmoor-outcome"),
    reason: read("dotterelmoor-reason"),
    server: read("dotterelmoor-server"),
    requestId,
    body: response.body,
  };
}

/** Options of `callOperators`. */
export interface CallOperatorsOptions {
  readonly method?: Method;
  readonly json?: unknown;
}

/** Calls the operators' interface of an entry. */
export async function callOperators<T>(
  operators: string,
  path: string,
  options: CallOperatorsOptions = {},
): Promise<{ readonly status: number; readonly body: T }> {
  const response = await got(`http://${operators}${path}`, {
    method: options.method ?? "GET",
    json: options.json,
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    throwHttpErrors: false,
    responseType: "json",
    timeout: { request: TIMEOUT_MS },
    retry: { limit: 0 },
  });
  return { status: response.statusCode, body: response.body as T };
}

/** Reads the counters of a stand-in through its control listener. */
export async function readCounters<T>(controlUrl: string): Promise<T> {
  return await got(`${controlUrl}/counters`).json();
}

/** Sets the faults of a stand-in through its control listener. */
export async function setFaults(
  controlUrl: string,
  faults: Readonly<Record<string, unknown>>,
): Promise<void> {
  await got.post(`${controlUrl}/faults`, { json: faults });
}

/** Checks a condition every 20 ms until it holds; throws after a time. */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  options: { readonly timeoutMs: number; readonly what: string },
): Promise<number> {
  const startedMs = performance.now();
  while (!await check()) {
    if (performance.now() - startedMs > options.timeoutMs) {
      throw new Error(
        `Cannot see ${options.what} within ${options.timeoutMs} ms`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  return performance.now() - startedMs;
}

/** Time by which groups have owners after a start, session and reads included. */
const GROUPS_TIMEOUT_MS = 15_000;

/** Waits until the first entry knows this many groups that serve. */
export async function waitForGroups(
  system: RunningSystem,
  count: number,
): Promise<void> {
  const { operators } = system.entries[0]!;
  await waitUntil(async () => {
    const { body } = await callOperators<
      { readonly groups: readonly { readonly value: { open: boolean } }[] }
    >(operators, "/v1/status");
    return body.groups.filter(({ value }) => value.open).length >= count;
  }, { timeoutMs: GROUPS_TIMEOUT_MS, what: "an owner for each group" });
}
