/**
 * HTTP interface for callers: lookups and requests.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { randomUUID } from "node:crypto";
import Koa from "koa";
import type { Context } from "koa";
import type { NotRunReason, Outcome } from "@dotterelmoor/core.types";
import {
  collectHeaders,
  createHeaderMap,
  joinValues,
} from "@dotterelmoor/network.backend";
import { hasUnknownCoding, Pipelines } from "@dotterelmoor/network.callers";
import type { Logger } from "pino";
import type { CallerRequest } from "./front.ts";
import { makeNotRun } from "./not_run.ts";

/** Wait that refusals made by this module suggest to the caller. */
const RETRY_AFTER_MS = 1_000;
const SERVICE_PREFIX = "/services/";
const REQUEST_ID_HEADER = "dotterelmoor-request-id";
/** Quotas of the team's own document; answered with 429 instead of 503. */
const QUOTA_REASONS: ReadonlySet<NotRunReason> = new Set([
  "link-budget",
  "shift-cap",
]);

/** Maximum size of a request body in bytes. */
export const MAX_REQUEST_BYTES = 256 * 1_024;

/** Headers of a single connection; never forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Options of `createCallerApp`. */
export interface CallerAppOptions {
  readonly lookUp: (service: string, client: string) => LookupResult;
  readonly runRequest: (
    request: CallerRequest,
    signal: AbortSignal,
  ) => Promise<Outcome>;
  /** True once this entry has a configuration. */
  readonly isReady: () => boolean;
  readonly isLeaving: () => boolean;
  readonly nowMs: () => number;
  readonly onAnswer: (answer: AnswerReport) => void;
  readonly log: Logger;
}

/** JSON body of the answer to a lookup. */
export type LookupResult = Readonly<Record<string, unknown>>;

/** Details of an answered request for logs and metrics. */
export interface AnswerReport {
  readonly request: CallerRequest;
  readonly outcome: Outcome;
  readonly latencyMs: number;
}

/** Creates the HTTP interface for callers. */
export function createCallerApp(options: CallerAppOptions): Koa {
  const app = new Koa();
  const pipelines = new Pipelines();
  app.silent = true;
  app.use(async (context) => {
    if (!pipelines.admit(context.req)) {
      // The connection closes before an answer could be written.
      context.respond = false;
      options.log.info("Request behind the last answer.");
      return;
    }
    // Before the next request of the connection, which may be a part of its body.
    const isCoded = hasUnknownCoding(context.req) && pipelines.end(context.req);
    const requestId = context.get(REQUEST_ID_HEADER);
    if (requestId !== "") context.set(REQUEST_ID_HEADER, requestId);
    if (isCoded) {
      context.status = 501;
    } else if (context.headers.host === undefined) {
      context.status = 400;
    } else if (!options.isReady()) {
      answerOutcome(context, makeNotRun("not-configured", RETRY_AFTER_MS));
    } else if (context.path === "/v1/lookup") {
      answerLookup(context, options);
    } else if (context.path.startsWith(SERVICE_PREFIX)) {
      await answerRequest(context, options);
    } else {
      context.status = 404;
    }
    if ((isCoded || options.isLeaving()) && pipelines.end(context.req)) {
      context.set("connection", "close");
    }
  });
  return app;
}

function answerLookup(context: Context, options: CallerAppOptions): void {
  const service = context.query.service;
  if (typeof service !== "string") {
    context.status = 400;
    context.body = {
      code: "service-missing",
      message: "Cannot look up without a service",
      hint: "Add the query parameter service",
    };
    return;
  }
  const client = context.query.client;
  context.body = options.lookUp(
    service,
    typeof client === "string" ? client : readCallerAddress(context),
  );
}

async function answerRequest(
  context: Context,
  options: CallerAppOptions,
): Promise<void> {
  const startedMs = options.nowMs();
  const body = await readBody(context.req);
  if (body === undefined) {
    answerOutcome(context, makeNotRun("too-large", RETRY_AFTER_MS));
    return;
  }
  const request = buildRequest(context, body);
  const abort = new AbortController();
  const onClose = () => {
    if (!context.res.writableFinished) abort.abort();
  };
  context.res.once("close", onClose);
  const outcome = await options.runRequest(request, abort.signal);
  context.res.off("close", onClose);
  options.onAnswer({
    request,
    outcome,
    latencyMs: options.nowMs() - startedMs,
  });
  context.set(REQUEST_ID_HEADER, request.requestId);
  answerOutcome(context, outcome);
}

function buildRequest(context: Context, body: Uint8Array): CallerRequest {
  const rest = context.url.slice(SERVICE_PREFIX.length);
  const slash = rest.indexOf("/");
  const service = slash < 0 ? rest : rest.slice(0, slash);
  const headers = createHeaderMap(collectHeaders(context.req.rawHeaders));
  for (const name of HOP_BY_HOP_HEADERS) delete headers[name];
  const deadline = Number(headers["dotterelmoor-deadline-ms"]);
  return {
    service: decodeURIComponent(service),
    method: context.method,
    path: slash < 0 ? "/" : rest.slice(slash),
    headers,
    body,
    client: readCallerAddress(context),
    requestId: joinValues(headers[REQUEST_ID_HEADER]) ?? randomUUID(),
    deadlineMs: deadline > 0 ? deadline : undefined,
  };
}

function readCallerAddress(context: Context): string {
  const address = context.req.socket.remoteAddress ?? "";
  return address.startsWith("::ffff:") ? address.slice(7) : address;
}

/** Reads the body; undefined if it exceeds `MAX_REQUEST_BYTES`. What exceeds
 * it is dropped; the connection stays open for the answer. Rejects if the
 * connection closes before the end of the body. */
function readBody(request: IncomingMessage): Promise<Uint8Array | undefined> {
  return new Promise((resolve, reject) => {
    const chunks: Uint8Array[] = [];
    let size = 0;
    request.on("data", (chunk: Uint8Array) => {
      size += chunk.byteLength;
      if (size > MAX_REQUEST_BYTES) resolve(undefined);
      else chunks.push(chunk);
    });
    request.once("end", () => resolve(Buffer.concat(chunks)));
    request.once("error", reject);
    request.once("close", () => reject(new Error("The connection closed")));
  });
}

/** Writes the HTTP response for an outcome. */
export function answerOutcome(context: Context, outcome: Outcome): void {
  OUTCOME_WRITERS[outcome.type](context, outcome as never);
}

type OutcomeWriters = {
  readonly [T in Outcome["type"]]: (
    context: Context,
    outcome: Extract<Outcome, { type: T }>,
  ) => void;
};

const OUTCOME_WRITERS: OutcomeWriters = {
  answered: (context, outcome) => {
    for (const [name, value] of Object.entries(outcome.headers)) {
      if (!HOP_BY_HOP_HEADERS.has(name)) context.set(name, value);
    }
    context.set("dotterelmoor-outcome", "answered");
    context.set("dotterelmoor-server", outcome.server);
    context.status = outcome.status;
    context.body = Buffer.from(outcome.body);
    const type = outcome.headers["content-type"];
    if (type === undefined) context.remove("content-type");
    else context.set("content-type", type);
  },
  "not-run": (context, outcome) => {
    context.set("dotterelmoor-outcome", "not-run");
    context.set("dotterelmoor-reason", outcome.reason);
    const seconds = Math.max(Math.ceil(outcome.retryAfterMs / 1_000), 1);
    context.set("retry-after", String(seconds));
    context.status = QUOTA_REASONS.has(outcome.reason) ? 429 : 503;
    context.body = { outcome: "not-run", reason: outcome.reason };
  },
  unknown: (context, outcome) => {
    context.set("dotterelmoor-outcome", "unknown");
    context.set("dotterelmoor-reason", outcome.reason);
    context.status = outcome.reason === "key-already-claimed" ? 409 : 504;
    context.body = { outcome: "unknown", reason: outcome.reason };
  },
};
