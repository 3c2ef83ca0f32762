/**
 * Sends the requests of a run to entries or to a backend server.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { Agent } from "node:http";
import got from "got";
import type { Method } from "got";
import { isLoopback } from "./addresses.ts";
import type { Arrival } from "./arrivals.ts";
import { Lookups } from "./lookups.ts";
import type { LookupQuery } from "./lookups.ts";
import type { MixRequest } from "./mix.ts";
import { classifyError, classifyResponse, isUnsent } from "./outcomes.ts";
import type { RequestOutcome } from "./outcomes.ts";

/** Options of `createSender`. */
export interface SenderOptions {
  /** Entries that lookups are sent to; unused with `direct`. */
  readonly entries: readonly string[];
  /** Base URL of a backend server; requests are sent to it without lookups. */
  readonly direct?: string;
  readonly timeoutMs: number;
  /** Throws if test traffic must not be sent to an address. */
  readonly assertAllowed: (address: string) => void;
}

/** Sends the requests of a run. */
export interface Sender {
  /** Sends one request; errors are returned as a `failed` outcome. */
  send(arrival: Arrival): Promise<RequestOutcome>;
  /** Returns the number of lookups that failed at every entry. */
  countLookupFailures(): number;
  /** Closes the connections. */
  close(): void;
}

/** Creates a sender with keep-alive connections. */
export function createSender(options: SenderOptions): Sender {
  const agent = new Agent({ keepAlive: true, timeout: 4_000 });
  const lookups = new Lookups({
    entries: options.entries,
    assertAllowed: options.assertAllowed,
    fetchAnswer: (entry, query) =>
      requestLookup(entry, query, { agent, ...options }),
  });
  return {
    send: async (arrival) => {
      try {
        return options.direct === undefined
          ? await sendToEntry(arrival, lookups, { agent, ...options })
          : await sendOnce(arrival, options.direct, { agent, ...options });
      } catch (error) {
        return classifyError(error);
      }
    },
    countLookupFailures: () => lookups.failures,
    close: () => agent.destroy(),
  };
}

interface SendOptions extends SenderOptions {
  readonly agent: Agent;
  readonly issuedKey?: string;
}

async function requestLookup(
  entry: string,
  query: LookupQuery,
  options: SendOptions,
): Promise<unknown> {
  const { service, client } = query;
  return await got(`http://${entry}/v1/lookup`, {
    searchParams: { service, ...(client === undefined ? {} : { client }) },
    agent: { http: options.agent },
    retry: { limit: 0 },
    timeout: { request: options.timeoutMs },
  }).json();
}

/**
 * Sends a request to the entries of a lookup in turn, until one of them accepts
 * the connection.
 */
async function sendToEntry(
  arrival: Arrival,
  lookups: Lookups,
  options: SendOptions,
): Promise<RequestOutcome> {
  const { service, client, key } = arrival.request;
  const query = { service, client };
  const targets = await lookups.find(query, key === "issued");
  let failure: unknown = new Error("Lookup response contains no entry");
  for (const address of targets.addresses) {
    const base = `http://${address}/services/${encodeURIComponent(service)}`;
    try {
      const { issuedKey } = targets;
      return await sendOnce(arrival, base, { ...options, issuedKey });
    } catch (error) {
      failure = error;
      lookups.remove(query);
      // Once any byte has been sent, the request may have run.
      if (!isUnsent(error)) break;
    }
  }
  return classifyError(failure);
}

async function sendOnce(
  arrival: Arrival,
  base: string,
  options: SendOptions,
): Promise<RequestOutcome> {
  const { request, id } = arrival;
  const response = await got(`${base.replace(/\/$/, "")}${request.path}`, {
    method: request.method as Method,
    headers: {
      "dotterelmoor-request-id": id,
      ...buildDeadlineHeader(request),
      ...buildKeyHeader(request, options.issuedKey),
    },
    ...(request.bodyBytes > 0
      ? { body: makeBody(id, request.bodyBytes), allowGetBody: true }
      : {}),
    ...(request.client !== undefined && isLoopback(request.client)
      ? { localAddress: request.client }
      : {}),
    agent: { http: options.agent },
    retry: { limit: 0 },
    followRedirect: false,
    throwHttpErrors: false,
    responseType: "buffer",
    timeout: { request: options.timeoutMs },
  });
  const { statusCode: status, headers } = response;
  return classifyResponse({ status, headers, requestId: id });
}

function buildDeadlineHeader(request: MixRequest): Record<string, string> {
  return request.deadlineMs === undefined
    ? {}
    : { "dotterelmoor-deadline-ms": String(request.deadlineMs) };
}

function buildKeyHeader(
  request: MixRequest,
  issuedKey: string | undefined,
): Record<string, string> {
  if (request.key === "none") return {};
  // Claims of keys outlive a run, so each run needs new keys despite its seed.
  const key = request.key === "issued" ? issuedKey : randomUUID();
  return key === undefined ? {} : { [request.keyHeader]: key };
}

/** Bodies differ between requests, since equal requests share a fingerprint. */
function makeBody(id: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${id} `);
}
