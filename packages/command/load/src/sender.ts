/**
 * Sends the requests of a run.
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

/** Settings of a sender. */
export interface SenderOptions {
  /** Entries that answer look-ups; unused with `direct`. */
  readonly entries: readonly string[];
  /** Base URL of a backend server that is sent to without look-ups. */
  readonly direct?: string;
  readonly timeoutMs: number;
  /** Throws if test traffic may not go to an address. */
  readonly assertAllowed: (address: string) => void;
}

/** Sends requests; `send` never throws. */
export interface Sender {
  send(arrival: Arrival): Promise<RequestOutcome>;
  countLookupFailures(): number;
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

/** Follows the look-up, and takes a spare if an entry was not reached. */
async function sendToEntry(
  arrival: Arrival,
  lookups: Lookups,
  options: SendOptions,
): Promise<RequestOutcome> {
  const { service, client, key } = arrival.request;
  const query = { service, client };
  const targets = await lookups.find(query, key === "issued");
  let failure: unknown = new Error("The look-up names no entry");
  for (const address of targets.addresses) {
    const base = `http://${address}/services/${encodeURIComponent(service)}`;
    try {
      const { issuedKey } = targets;
      return await sendOnce(arrival, base, { ...options, issuedKey });
    } catch (error) {
      failure = error;
      lookups.remove(query);
      // After any byte was sent, the request may have run.
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
  // Keys are claimed for a long time, so runs with one seed need new ones.
  const key = request.key === "issued" ? issuedKey : randomUUID();
  return key === undefined ? {} : { [request.keyHeader]: key };
}

/** Bodies differ by request, because equal ones share a fingerprint. */
function makeBody(id: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${id} `);
}
