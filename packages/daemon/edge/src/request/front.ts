/**
 * Reads callers' requests, forwards them, and answers each with its outcome.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Catalog, RouteRecord } from "@dotterelmoor/core.catalog";
import { computeFingerprint } from "@dotterelmoor/core.quarantine";
import type { CallerProtocol } from "../ports.ts";
import type { EdgeLog } from "../process/logging.ts";
import type { EdgeMetrics } from "../process/metrics.ts";
import type { BodyReader, BodyResult } from "./body.ts";
import type { ForwardResult } from "./forward_types.ts";
import type { Forwarder } from "./forwarding.ts";
import { answer } from "./outcomes.ts";
import { Pipelines } from "./pipelines.ts";

/** Time in milliseconds after which callers may retry while an entry has no
 * configuration yet. */
const STARTING_RETRY_MS = 500;

/** Time in milliseconds after which callers may retry when an entry is shutting
 * down; they reach another entry on a new connection. */
const LEAVING_RETRY_MS = 20;

/** Time in milliseconds after which callers may retry a request for whose body
 * there was no room. */
const MEMORY_RETRY_MS = 1_000;

/** Share of the grace period after which requests are refused. By then, most
 * callers have moved to other entries; the rest of the period is left for
 * requests in flight to finish. */
const ACCEPT_SHARE = 0.45;

/** Options of `createFront`. */
export interface FrontOptions {
  readonly catalog: Catalog;
  readonly forwarder: Forwarder;
  readonly bodies: BodyReader;
  readonly protocol: CallerProtocol;
  readonly metrics: EdgeMetrics;
  readonly log: EdgeLog;
}

/** Handles callers' requests at one entry. */
export interface Front {
  handle(request: IncomingMessage, response: ServerResponse): void;
  /** Starts the graceful shutdown: closes each connection after its last
   * answer, and refuses new requests after a share of the grace period. */
  startLeaving(graceMs: number): void;
  /** Number of requests that are not answered yet. */
  readonly inFlight: number;
}

/** The result of a request, with the route that matched it. */
interface RequestEnd extends ForwardResult {
  readonly route?: RouteRecord;
  /** Version of the configuration in which the route was found. */
  readonly routeVersion?: number;
}

/** Creates the handler of callers' requests. */
export function createFront(options: FrontOptions): Front {
  return new CallerFront(options);
}

class CallerFront implements Front {
  readonly #options: FrontOptions;
  readonly #pipelines = new Pipelines();
  #refusesAtMs: number | undefined;
  inFlight = 0;

  constructor(options: FrontOptions) {
    this.#options = options;
  }

  startLeaving(graceMs: number): void {
    this.#refusesAtMs = performance.now() + ACCEPT_SHARE * graceMs;
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    if (!this.#pipelines.admit(request)) {
      this.#options.log.decide("Request behind the last answer.", {});
      return;
    }
    const arrivedAtMs = performance.now();
    const controller = new AbortController();
    this.inFlight += 1;
    response.once("close", () => {
      this.inFlight -= 1;
      if (!response.writableFinished) controller.abort();
    });
    const context = { request, arrivedAtMs, signal: controller.signal };
    this.#run(context)
      .then((end) => this.#answer(end, response, context))
      .catch((error) => this.#answerError(error, response, context));
  }

  async #run(context: RequestContext): Promise<RequestEnd> {
    const { catalog, protocol } = this.#options;
    const { request } = context;
    const { document, routes } = catalog;
    if (document === undefined || routes === undefined) {
      return refuse("no-configuration", STARTING_RETRY_MS);
    }
    if (countHeaderBytes(request) > document.limits.maxHeaderBytes) {
      return reject("header-too-large");
    }
    const path = (request.url ?? "").split("?", 1)[0]!;
    const { host = "" } = request.headers;
    const route = routes.find(host, path);
    if (route === undefined) return reject("no-route");
    const caller = protocol.readRequest(request.headers);
    if (caller.requestId === undefined) return reject("malformed");
    if (context.arrivedAtMs >= (this.#refusesAtMs ?? Infinity)) {
      return { ...refuse("leaving", LEAVING_RETRY_MS), route };
    }
    const waitMs = Math.min(caller.waitMs ?? Infinity, route.timeoutMs);
    const deadlineAtMs = context.arrivedAtMs + waitMs;
    const body = await this.#options.bodies.read(request, {
      maxBytes: document.limits.maxBodyBytes,
      deadlineAtMs,
      signal: context.signal,
    });
    if (body.type !== "body") return { ...UNREAD_RESULTS[body.type], route };
    try {
      const { method = "GET", url = "/" } = request;
      const result = await this.#options.forwarder.forward({
        route,
        host,
        requestId: caller.requestId,
        fingerprint: computeFingerprint({
          service: host,
          method,
          path: url,
          body: body.bytes,
          caller: request.socket.remoteAddress ?? "",
        }),
        object: caller.object,
        method,
        path: url,
        headers: joinHeaders(request),
        body: body.bytes,
        arrivedAtMs: context.arrivedAtMs,
        deadlineAtMs,
        signal: context.signal,
      });
      return { ...result, route, routeVersion: document.version };
    } finally {
      body.release();
    }
  }

  #answer(
    end: RequestEnd,
    response: ServerResponse,
    context: RequestContext,
  ): void {
    const { protocol } = this.#options;
    const { requestId } = protocol.readRequest(context.request.headers);
    this.#record(end, requestId, context);
    if (response.destroyed) return;
    // The rest of an unread body would be parsed as the next request.
    const isUnread = !context.request.complete;
    const isLast = this.#refusesAtMs !== undefined || isUnread;
    answer(end.outcome, response, {
      requestId,
      requestIdHeader: protocol.requestIdHeader,
      closes: isLast && this.#pipelines.end(context.request),
    });
  }

  /** Answers that the outcome is unknown, so that an unexpected error neither
   * ends the process nor leaves the caller without an answer. */
  #answerError(
    error: unknown,
    response: ServerResponse,
    context: RequestContext,
  ): void {
    this.#options.log.part("request").error({ err: error }, "Failed.");
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    this.#answer(
      { outcome: { type: "unknown", reason: "internal-error" }, sends: [] },
      response,
      context,
    );
  }

  #record(
    end: RequestEnd,
    requestId: string | undefined,
    { request, arrivedAtMs }: RequestContext,
  ): void {
    const { log, metrics, catalog, protocol } = this.#options;
    const { outcome, sends, route, routeVersion, service = "none" } = end;
    const elapsedMs = performance.now() - arrivedAtMs;
    const reason = "reason" in outcome ? outcome.reason : "none";
    metrics.requests.inc({ service, outcome: outcome.type, reason });
    metrics.latency.observe({ service }, elapsedMs / 1_000);
    log.decide(chooseMessage(end, elapsedMs), {
      request: requestId,
      route: route?.name,
      routeVersion,
      allowedRegions: route?.allowedRegions,
      service,
      object: protocol.readRequest(request.headers).object,
      outcome: outcome.type,
      reason,
      status: "status" in outcome ? outcome.status : undefined,
      elapsedMs: Math.round(elapsedMs),
      configuration: catalog.document?.version,
      sends,
      refusal: end.refusal,
    });
  }
}

interface RequestContext {
  readonly request: IncomingMessage;
  readonly arrivedAtMs: number;
  readonly signal: AbortSignal;
}

/** Chooses the message of a request's log line; each message is rate-limited
 * separately. */
function chooseMessage(end: RequestEnd, elapsedMs: number): string {
  const { outcome, route, sends } = end;
  if (sends.some(({ place }) => place === "outside")) {
    return "Request sent outside its route's regions.";
  }
  if (outcome.type === "not-run" && outcome.reason === "quarantined") {
    return "Request quarantined.";
  }
  if (outcome.type !== "answered") return `Request ${outcome.type}.`;
  if (outcome.status >= 500) return "Request failed by its server.";
  if (route !== undefined && elapsedMs > route.targetLatencyMs) {
    return "Request late.";
  }
  return sends.length > 1 ? "Request served by a retry." : "Request served.";
}

/** Results of requests whose body was not read to its end. */
const UNREAD_RESULTS: Readonly<
  Record<Exclude<BodyResult["type"], "body">, ForwardResult>
> = {
  cut: { outcome: { type: "abandoned" }, sends: [] },
  late: refuse("too-late", 0),
  "no-memory": refuse("no-memory", MEMORY_RETRY_MS),
  "too-large": reject("body-too-large"),
};

function refuse(
  reason: "leaving" | "no-configuration" | "no-memory" | "too-late",
  retryAfterMs: number,
): ForwardResult {
  return { outcome: { type: "not-run", reason, retryAfterMs }, sends: [] };
}

function reject(
  reason: "body-too-large" | "header-too-large" | "malformed" | "no-route",
): ForwardResult {
  return { outcome: { type: "invalid", reason }, sends: [] };
}

function countHeaderBytes(request: IncomingMessage): number {
  let bytes = 0;
  for (const text of request.rawHeaders) bytes += text.length + 2;
  return bytes;
}

/** Joins repeated headers into one comma-separated value, as HTTP allows. */
function joinHeaders(request: IncomingMessage): Record<string, string> {
  const joined: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value === undefined) continue;
    joined[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return joined;
}
