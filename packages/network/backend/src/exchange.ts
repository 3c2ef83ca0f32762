/**
 * One request and its answer on an open connection.
 *
 * @module
 */

import { request as openRequest } from "node:http";
import type {
  ClientRequest,
  IncomingHttpHeaders,
  IncomingMessage,
} from "node:http";
import { performance } from "node:perf_hooks";
import { BodyBuffer } from "./body_buffer.ts";
import type { Connection } from "./connection.ts";
import { buildRequestHeaders, pickEndToEnd } from "./headers.ts";
import { computeMaxRead, MAX_HEAD_BYTES } from "./limits.ts";
import type { ServerProtocol } from "./protocol.ts";
import type { BackendRequest, BackendResult } from "./types.ts";

/** Time in milliseconds before a server's stated idle timeout at which a
 * connection is given up, so that no request crosses the server's close. */
const IDLE_MARGIN_MS = 1_500;

/** Least status of a final answer. Lower ones are not valid, or, as 101, end
 * HTTP on the connection, which no request asks for. */
const MIN_FINAL_STATUS = 200;

/** Bounds and progress of one exchange. */
export interface Exchange {
  readonly request: BackendRequest;
  readonly deadlineAt: number;
  readonly maxAnswerBytes: number;
  readonly protocol: ServerProtocol;
  readonly controller: AbortController;
  /** True once bytes of the request may have left. */
  sent: boolean;
  /** True once the head of the answer has come. */
  responseStarted: boolean;
  /** Bytes of the answer's body that have come. */
  bodyBytes: number;
  /** True if the answer cannot be taken as complete. */
  isRejected: boolean;
  /** True if the request was held back on an open connection. */
  heldBack: boolean;
}

/**
 * Sends the request and reads the whole answer; throws on any failure. It uses
 * `node:http` directly, because got costs 0.5 to 0.7 ms of processor time for
 * each request.
 */
export async function runExchange(
  connection: Connection,
  exchange: Exchange,
): Promise<BackendResult> {
  connection.watchResponse((bytes) => {
    if (bytes > computeMaxRead(exchange.bodyBytes)) rejectAnswer(exchange);
  });
  const clientRequest = writeRequest(connection, exchange);
  const response = await waitForHead(clientRequest);
  const endsWithConnection = !isBodiless(response, exchange) &&
    !isFramed(response.headers);
  const ended = endsWithConnection
    ? connection.waitForCleanEnd()
    : Promise.resolve(true);
  exchange.responseStarted = true;
  const { statusCode = 0, headers } = response;
  if (statusCode < MIN_FINAL_STATUS) rejectAnswer(exchange);
  const isMatching = hasMatchingId(response, exchange, connection.isReused);
  if (!isMatching) rejectAnswer(exchange);
  if (!hasValidFraming(response, exchange)) rejectAnswer(exchange);
  if (!exchange.isRejected) exchange.request.onHead?.(statusCode, headers);
  const body = await readBody(response, exchange);
  if (!await ended) exchange.isRejected = true;
  limitIdle(connection, response);
  return buildResult(response, body, exchange);
}

/**
 * Writes the request in the same turn of the event loop as the check of the
 * time left, because the server stops work by the remaining time it is told.
 */
function writeRequest(
  connection: Connection,
  exchange: Exchange,
): ClientRequest {
  const { request, protocol, controller } = exchange;
  const limitMs = request.workLimitMs?.() ?? Infinity;
  const leftMs = exchange.deadlineAt - performance.now();
  const workMs = Math.floor(Math.min(limitMs, leftMs));
  exchange.heldBack = true;
  if (workMs <= 0) throw new Error("No time is left to run the request");
  const { requestId } = request;
  const headers: Record<string, string> = {
    ...buildRequestHeaders(request.headers, { requestId, protocol }),
    [protocol.deadlineHeader]: String(workMs),
  };
  const body = request.body ?? new Uint8Array();
  if (body.length > 0) headers["content-length"] = String(body.length);
  // The call throws if the path or a header cannot be encoded.
  const separator = request.address.lastIndexOf(":");
  const clientRequest = openRequest({
    host: request.address.slice(0, separator),
    port: Number(request.address.slice(separator + 1)),
    agent: connection.agent,
    method: request.method,
    path: request.path,
    headers,
    maxHeaderSize: MAX_HEAD_BYTES,
  });
  // Lines beyond a count are dropped unseen; the bound in bytes is enough.
  clientRequest.maxHeadersCount = 0;
  const { signal } = controller;
  const abort = () => clientRequest.destroy(signal.reason);
  signal.addEventListener("abort", abort, { once: true });
  exchange.heldBack = false;
  exchange.sent = true;
  clientRequest.end(body);
  return clientRequest;
}

function waitForHead(clientRequest: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    clientRequest.once("response", resolve);
    // Errors also come after the head, and must not go unhandled.
    clientRequest.on("error", reject);
    // An answer that switches protocols ends without an error.
    clientRequest.once(
      "close",
      () => reject(new Error("The connection closed without an answer")),
    );
  });
}

function readBody(
  response: IncomingMessage,
  exchange: Exchange,
): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    const body = new BodyBuffer();
    response.on("data", (chunk: Buffer) => {
      body.append(chunk);
      exchange.bodyBytes += chunk.length;
      if (exchange.bodyBytes > exchange.maxAnswerBytes) rejectAnswer(exchange);
    });
    response.once("end", () => resolve(body.take()));
    response.once("error", reject);
    // Without an end, the answer was cut; after one, this has no effect.
    response.once("close", () => reject(new Error("The answer was cut")));
  });
}

/** A late answer to an earlier request of the connection is told by its id; one
 * without an id may be a copy of an earlier one. */
function hasMatchingId(
  response: IncomingMessage,
  { protocol, request }: Exchange,
  isReused: boolean,
): boolean {
  if (!protocol.echoesRequestId) return true;
  const echoed = response.headers[protocol.requestIdHeader];
  return echoed === undefined ? !isReused : echoed === request.requestId;
}

function limitIdle(connection: Connection, response: IncomingMessage): void {
  const hint = response.headers["keep-alive"];
  const seconds = /(?:^|[\s,;])timeout=(\d+)/.exec(String(hint ?? ""))?.[1];
  if (seconds === undefined) return;
  connection.limitIdle(Math.max(0, Number(seconds) * 1_000 - IDLE_MARGIN_MS));
}

/** An answer that ends with its connection may have been cut. */
function hasValidFraming(
  response: IncomingMessage,
  exchange: Exchange,
): boolean {
  if (isBodiless(response, exchange)) return true;
  const { headers } = response;
  const length = headers["content-length"];
  if (length !== undefined) return Number(length) <= exchange.maxAnswerBytes;
  return exchange.protocol.acceptsCloseDelimited || isFramed(headers);
}

function isBodiless(response: IncomingMessage, exchange: Exchange): boolean {
  const { statusCode } = response;
  return exchange.request.method === "HEAD" || statusCode === 204 ||
    statusCode === 304;
}

function isFramed(headers: IncomingHttpHeaders): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"]?.toLowerCase() === "chunked";
}

function rejectAnswer(exchange: Exchange): void {
  exchange.isRejected = true;
  exchange.controller.abort(new Error("The answer is not acceptable"));
}

function buildResult(
  response: IncomingMessage,
  body: Uint8Array,
  exchange: Exchange,
): BackendResult {
  const { statusCode: status = 0, headers } = response;
  const length = headers["content-length"];
  const isCut = exchange.isRejected || !response.complete ||
    (length !== undefined && exchange.request.method !== "HEAD" &&
      status !== 304 && Number(length) !== body.length);
  if (isCut) return { type: "incomplete_answer" };
  const { protocol } = exchange;
  if (protocol.isNotRun(status, headers)) {
    return { type: "refused", draining: protocol.isDraining(headers) };
  }
  return { type: "answered", status, headers: pickEndToEnd(headers), body };
}
