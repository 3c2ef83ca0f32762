/**
 * Reads callers' requests, forwards them, and answers each with its outcome.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  Catalog,
  RouteRecord,
  RoutingDocument,
} from "@dotterelmoor/core.catalog";
import { computeFingerprint } from "@dotterelmoor/core.quarantine";
import type { HeaderMap } from "@dotterelmoor/core.types";
import { collectHeaders } from "@dotterelmoor/network.backend";
import { hasUnknownCoding, Pipelines } from "@dotterelmoor/network.callers";
import type { CallerProtocol } from "../ports.ts";
import { computeGracePeriod } from "../process/grace_period.ts";
import type { GracePeriod } from "../process/grace_period.ts";
import type { HeaderLimit } from "../process/header_limit.ts";
import type { EdgeLog } from "../process/logging.ts";
import type { EdgeMetrics } from "../process/metrics.ts";
import type { BodyReader } from "./body.ts";
import type { Forwarder } from "./forwarding.ts";
import { answer, LEAVING_RETRY_MS } from "./outcomes.ts";
import { refuse, reject, UNREAD_RESULTS } from "./own_results.ts";
import { chooseMessage } from "./request_log.ts";
import type { RequestEnd } from "./request_log.ts";

/** Time in milliseconds after which callers may retry while an entry has no
 * configuration yet. */
const STARTING_RETRY_MS = 500;

/** Options of `createFront`. */
export interface FrontOptions {
  readonly catalog: Catalog;
  readonly forwarder: Forwarder;
  readonly bodies: BodyReader;
  readonly headerLimit: HeaderLimit;
  readonly protocol: CallerProtocol;
  readonly metrics: EdgeMetrics;
  readonly log: EdgeLog;
}

/** Handles callers' requests at one entry. */
export interface Front {
  handle(request: IncomingMessage, response: ServerResponse): void;
  /** Starts the graceful shutdown: closes each connection after its last
   * answer, and refuses new requests after a share of the grace period, or if
   * they may last longer than it. */
  startLeaving(graceMs: number): GracePeriod;
  /** Answers all requests that are unanswered, because the process is about to
   * exit; returns their number. */
  answerLast(): number;
  /** Number of requests whose answers are not sent yet. */
  readonly inFlight: number;
  /** Number of requests that were refused because of the shutdown. */
  readonly refusedCount: number;
}

/** Creates the handler of callers' requests. */
export function createFront(options: FrontOptions): Front {
  return new CallerFront(options);
}

class CallerFront implements Front {
  readonly #options: FrontOptions;
  readonly #pipelines = new Pipelines();
  #gracePeriod: GracePeriod | undefined;
  readonly #inFlight = new Map<ServerResponse, RequestContext>();
  refusedCount = 0;

  constructor(options: FrontOptions) {
    this.#options = options;
  }

  get inFlight(): number {
    return this.#inFlight.size;
  }

  startLeaving(graceMs: number): GracePeriod {
    this.#gracePeriod = computeGracePeriod(graceMs);
    return this.#gracePeriod;
  }

  answerLast(): number {
    let count = 0;
    for (const [response, context] of this.#inFlight) {
      // A caller reads its answer slowly.
      if (response.writableEnded) continue;
      count += 1;
      const { forwardedRoute: route } = context;
      const end: RequestEnd = route === undefined
        ? refuse("leaving", LEAVING_RETRY_MS)
        : { outcome: { type: "unknown", reason: "leaving" }, sends: [], route };
      this.#answer(end, response, context);
      context.controller.abort();
    }
    return count;
  }

  #exitsAtMs(): number {
    return this.#gracePeriod?.endsAtMs ?? Infinity;
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    if (!this.#pipelines.admit(request)) {
      this.#options.log.decide("Request behind the last answer.", {});
      return;
    }
    // Before the next request of the connection, which may be a part of its body.
    if (hasUnknownCoding(request)) this.#pipelines.end(request);
    const arrivedAtMs = performance.now();
    const controller = new AbortController();
    response.once("close", () => {
      this.#inFlight.delete(response);
      if (!response.writableFinished) controller.abort();
    });
    const context: RequestContext = { request, arrivedAtMs, controller };
    this.#inFlight.set(response, context);
    this.#run(context)
      .then((end) => this.#answer(end, response, context))
      .catch((error) => this.#answerError(error, response, context));
  }

  async #run(context: RequestContext): Promise<RequestEnd> {
    const { catalog, headerLimit, protocol } = this.#options;
    const { request } = context;
    const { document, routes } = catalog;
    if (document === undefined || routes === undefined) {
      return refuse("no-configuration", STARTING_RETRY_MS);
    }
    if (headerLimit.isExceeded(request, document.limits.maxHeaderBytes)) {
      return reject("header-too-large");
    }
    const path = (request.url ?? "").split("?", 1)[0]!;
    if (hasUnknownCoding(request)) return reject("unknown-coding");
    const headers = collectHeaders(request.rawHeaders);
    const { host } = headers;
    // Several hosts are invalid (RFC 9112, section 3.2).
    if (typeof host !== "string") return reject("malformed");
    const route = routes.find(host, path);
    if (route === undefined) return reject("no-route");
    const caller = protocol.readRequest(request.headers);
    // Joined, several ids would be one that the caller did not send.
    const hasOneId = typeof headers[protocol.requestIdHeader] === "string";
    if (caller.requestId === undefined || !hasOneId) return reject("malformed");
    const { arrivedAtMs } = context;
    const waitMs = Math.min(caller.waitMs ?? Infinity, route.timeoutMs);
    const isClosed =
      arrivedAtMs >= (this.#gracePeriod?.refusesAtMs ?? Infinity);
    if (isClosed || arrivedAtMs + waitMs > this.#exitsAtMs()) {
      return { ...refuse("leaving", LEAVING_RETRY_MS), route };
    }
    const { requestId, object } = caller;
    const target = { document, route, host, headers, requestId, object };
    return await this.#forward(context, target, arrivedAtMs + waitMs);
  }

  async #forward(
    context: RequestContext,
    { document, route, host, headers, requestId, object }: RequestTarget,
    deadlineAtMs: number,
  ): Promise<RequestEnd> {
    const { bodies, forwarder } = this.#options;
    const { request, arrivedAtMs, controller: { signal } } = context;
    const { maxBodyBytes: maxBytes } = document.limits;
    const limits = { maxBytes, deadlineAtMs, signal };
    const body = await bodies.read(request, limits);
    if (body.type !== "body") return { ...UNREAD_RESULTS[body.type], route };
    try {
      const { method = "GET", url: path = "/" } = request;
      context.forwardedRoute = route;
      const result = await forwarder.forward({
        route,
        host,
        requestId,
        fingerprint: computeFingerprint({
          service: host,
          method,
          path,
          body: body.bytes,
          caller: request.socket.remoteAddress ?? "",
        }),
        object,
        method,
        path,
        headers,
        body: body.bytes,
        arrivedAtMs,
        deadlineAtMs,
        exitsAtMs: () => this.#exitsAtMs(),
        signal,
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
    // It got its last answer while its servers were at work.
    if (response.writableEnded) return;
    const { protocol } = this.#options;
    const { requestId } = protocol.readRequest(context.request.headers);
    this.#record(end, requestId, context);
    if (response.destroyed) return;
    // The rest of an unread body would be parsed as the next request.
    const isUnread = !context.request.complete ||
      hasUnknownCoding(context.request);
    const isLast = this.#gracePeriod !== undefined || isUnread;
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
    if (response.writableEnded) return;
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
    if (outcome.type === "not-run" && outcome.reason === "leaving") {
      this.refusedCount += 1;
    }
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

/** Where a request goes, and what its caller states. */
interface RequestTarget {
  readonly document: RoutingDocument;
  readonly route: RouteRecord;
  readonly host: string;
  readonly headers: HeaderMap;
  readonly requestId: string;
  readonly object: string | undefined;
}

interface RequestContext {
  readonly request: IncomingMessage;
  readonly arrivedAtMs: number;
  /** Aborts the sends to servers. */
  readonly controller: AbortController;
  /** The route; undefined until the request was passed to the forwarder. */
  forwardedRoute?: RouteRecord;
}
