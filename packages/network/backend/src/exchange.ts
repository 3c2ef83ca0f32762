/**
 * One request and its response on an open connection.
 *
 * @module
 */

import { request as openRequest } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import { performance } from "node:perf_hooks";
import type { AnswerShare } from "./answer_budget.ts";
import { BodyBuffer } from "./body_buffer.ts";
import type { Connection } from "./connection.ts";
import {
  buildRequestHeaders,
  collectHeaders,
  pickEndToEnd,
} from "./headers.ts";
import { computeMaxRead, MAX_HEAD_BYTES } from "./limits.ts";
import type { ServerProtocol } from "./protocol.ts";
import {
  announcesForbiddenBody,
  CAN_READ,
  chooseFraming,
  hasValidStatusLine,
} from "./response_head.ts";
import type { BackendRequest, BackendResult } from "./types.ts";

/** Time before the end of a server's announced idle timeout at which the
 * client closes a connection, so that no request is sent while the server
 * closes it. */
const IDLE_MARGIN_MS = 1_500;

/** Limits and progress of one exchange. */
export interface Exchange {
  readonly request: BackendRequest;
  readonly deadlineAt: number;
  readonly maxAnswerBytes: number;
  readonly protocol: ServerProtocol;
  readonly controller: AbortController;
  /** What the response takes of the budget of all. */
  readonly share: AnswerShare;
  /** True once bytes of the request may have been sent. */
  sent: boolean;
  /** True once the head of the response has arrived. */
  responseStarted: boolean;
  /** Bytes of the response body received so far. */
  bodyBytes: number;
  /** True if the response does not count as complete. */
  isRejected: boolean;
  /** True if the connection opened but the request was not written to it,
   * because no time was left or HTTP cannot encode it. */
  notWritten: boolean;
}

/**
 * Sends the request and reads the whole response; throws on any failure. It
 * uses `node:http` directly because got takes 0.5 to 0.7 ms of processor time
 * per request.
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
  const framing = chooseFraming(response, exchange.request.method);
  const ended = framing === "close"
    ? connection.waitForCleanEnd(exchange.controller.signal)
    : Promise.resolve(true);
  if (framing === "chunked" && !clientRequest.shouldKeepAlive) {
    rejectUnreadChunks(connection, response, exchange);
  }
  exchange.responseStarted = true;
  // Before the connection becomes idle, at the end of the response.
  limitIdle(connection, response);
  const { statusCode = 0, headers } = response;
  const isAcceptable = hasValidStatusLine(response) &&
    !announcesForbiddenBody(response) &&
    hasMatchingId(response, exchange, connection.isReused) &&
    CAN_READ[framing](response, exchange);
  if (!isAcceptable) rejectAnswer(exchange);
  if (isRetryable(response, exchange)) {
    connection.exclude(exchange.request.requestId);
  }
  if (framing !== "close" && !isIdentified(response, exchange)) {
    // A copy of this response could not be told from the next one. Closes at
    // the end, before the pool can give the connection to another request.
    response.once("end", () => connection.close());
  }
  if (!exchange.isRejected) exchange.request.onHead?.(statusCode, headers);
  const body = await readBody(response, exchange);
  // Before the pool can give the connection to another request.
  if (isIncomplete(response, body, exchange)) connection.close();
  // Node.js has not freed the connection: a part of the request is not written.
  else if (!clientRequest.destroyed) connection.expectNothing();
  if (!await ended) {
    exchange.controller.signal.throwIfAborted();
    exchange.isRejected = true;
  }
  return buildResult(response, body, exchange);
}

/**
 * Writes the request in the same turn of the event loop in which it computes
 * the remaining time, because the server stops work after the time in the
 * header.
 */
function writeRequest(
  connection: Connection,
  exchange: Exchange,
): ClientRequest {
  const { request, protocol, controller } = exchange;
  // The listener below does not hear of an earlier cancellation.
  controller.signal.throwIfAborted();
  const limitMs = request.workLimitMs?.() ?? Infinity;
  const leftMs = exchange.deadlineAt - performance.now();
  const workMs = Math.floor(Math.min(limitMs, leftMs));
  exchange.notWritten = true;
  if (workMs <= 0) throw new Error("No time is left to run the request");
  const { body = [] } = request;
  const parts = body instanceof Uint8Array ? [body] : body;
  const length = parts.reduce((sum, part) => sum + part.length, 0);
  const headers = buildRequestHeaders(request.headers, {
    own: {
      ...request.ownHeaders,
      [protocol.requestIdHeader]: request.requestId,
      [protocol.deadlineHeader]: String(workMs),
      ...(length > 0 ? { "content-length": String(length) } : {}),
    },
    keepsHost: protocol.keepsHost,
  });
  // Throws if the path or a header cannot be encoded.
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
  // 0 is no limit: Node.js would drop header lines beyond a limit silently, and
  // `maxHeaderSize` already bounds them.
  clientRequest.maxHeadersCount = 0;
  const { signal } = controller;
  const abort = () => clientRequest.destroy(signal.reason);
  signal.addEventListener("abort", abort, { once: true });
  exchange.notWritten = false;
  exchange.sent = true;
  for (const part of parts.slice(0, -1)) clientRequest.write(part);
  clientRequest.end(parts.at(-1));
  request.onWrite?.(connection.number);
  return clientRequest;
}

function waitForHead(clientRequest: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    clientRequest.once("response", resolve);
    // Stays registered: an error after the head must not be unhandled.
    clientRequest.on("error", reject);
    // A response that switches protocols closes without an error.
    clientRequest.once(
      "close",
      () => reject(new Error("The connection closed before a response")),
    );
  });
}

function readBody(
  response: IncomingMessage,
  exchange: Exchange,
): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    const { share, controller } = exchange;
    const body = new BodyBuffer(share.pool);
    let isCut = false;
    controller.signal.addEventListener("abort", () => {
      // A complete answer is still delivered.
      if (response.complete) return;
      isCut = true;
      body.clear();
    });
    const length = response.headers["content-length"];
    if (length !== undefined) share.setAnnounced(Number(length));
    response.on("data", (chunk: Buffer) => {
      if (isCut) return;
      body.append(chunk);
      share.setHeld(body.allocatedBytes);
      exchange.bodyBytes += chunk.length;
      if (exchange.bodyBytes > exchange.maxAnswerBytes) rejectAnswer(exchange);
    });
    response.once("end", () => {
      share.release();
      if (isCut) reject(controller.signal.reason);
      else resolve(body.take());
    });
    response.once("error", reject);
    // A close before the end means that the response is truncated; after the
    // end, this has no effect.
    response.once("close", () => {
      body.clear();
      reject(new Error("The response is truncated"));
    });
  });
}

/** Rejects a response in chunks that is not complete when its connection ends.
 * With a tab behind `chunked`, the parser takes what follows for the body. */
function rejectUnreadChunks(
  connection: Connection,
  response: IncomingMessage,
  exchange: Exchange,
): void {
  connection.watchEnd(() => {
    if (!response.complete) rejectAnswer(exchange);
  });
}

/** Checks the echoed request id. Another id shows a late response to an earlier
 * request; on a reused connection, a response without an id may be a copy of an
 * earlier one. */
function hasMatchingId(
  response: IncomingMessage,
  { protocol, request }: Exchange,
  isReused: boolean,
): boolean {
  if (!protocol.echoesRequestId) return true;
  const echoed = response.headers[protocol.requestIdHeader];
  return echoed === undefined ? !isReused : echoed === request.requestId;
}

/** True if the request may be sent again after the response. */
function isRetryable(
  { statusCode = 0, headers }: IncomingMessage,
  { protocol }: Exchange,
): boolean {
  return statusCode >= 500 || protocol.isNotRun(statusCode, headers);
}

/** True if the response carries a request id, or the protocol has none. */
function isIdentified(
  response: IncomingMessage,
  { protocol }: Exchange,
): boolean {
  return !protocol.echoesRequestId ||
    response.headers[protocol.requestIdHeader] !== undefined;
}

/** Applies the idle timeout that the server announces in `keep-alive`. */
function limitIdle(connection: Connection, response: IncomingMessage): void {
  const hint = response.headers["keep-alive"];
  const seconds = /(?:^|[\s,;])timeout=(\d+)/.exec(String(hint ?? ""))?.[1];
  if (seconds === undefined) return;
  connection.limitIdle(Math.max(0, Number(seconds) * 1_000 - IDLE_MARGIN_MS));
}

/** Rejects the response and closes its connection. */
export function rejectAnswer(exchange: Exchange): void {
  exchange.isRejected = true;
  exchange.controller.abort(new Error("The response is not acceptable"));
}

function isIncomplete(
  { statusCode, headers, complete }: IncomingMessage,
  body: Uint8Array,
  { isRejected, request }: Exchange,
): boolean {
  const length = headers["content-length"];
  return isRejected || !complete ||
    (length !== undefined && request.method !== "HEAD" &&
      statusCode !== 304 && Number(length) !== body.length);
}

function buildResult(
  response: IncomingMessage,
  body: Uint8Array,
  exchange: Exchange,
): BackendResult {
  const { statusCode: status = 0, headers, rawHeaders } = response;
  if (isIncomplete(response, body, exchange)) {
    return { type: "incomplete_answer" };
  }
  const { protocol } = exchange;
  if (protocol.isNotRun(status, headers)) {
    return { type: "refused", draining: protocol.isDraining(headers) };
  }
  const endToEnd = pickEndToEnd(collectHeaders(rawHeaders));
  return { type: "answered", status, headers: endToEnd, body };
}
