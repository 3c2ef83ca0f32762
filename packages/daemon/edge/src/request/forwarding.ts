/**
 * Sends one request to servers until it has an outcome.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Catalog, RouteRecord } from "@dotterelmoor/core.catalog";
import type {
  Placement,
  Placer,
  PlaceRequest,
  RefusalInputs,
  SendEnd,
  SendOutcome,
  SendPlacement,
  ServerLoadReport,
} from "@dotterelmoor/core.placing";
import type {
  BackendClient,
  BackendResult,
} from "@dotterelmoor/network.backend";
import { wait } from "../process/intervals.ts";
import type { EdgeMetrics } from "../process/metrics.ts";
import type { RetryBudgets } from "../process/retry_budgets.ts";
import type { CallerProtocol } from "../ports.ts";
import type { RequestOutcome } from "./outcomes.ts";
import {
  computeBackupDelay,
  SEND_RESULTS,
  takeFirstAnswer,
} from "./send_results.ts";

/** Time in milliseconds kept for the answer on its way back to the caller. */
const ANSWER_MARGIN_MS = 10;

/** Time in milliseconds after which to come back when servers refused. */
const REFUSED_RETRY_MS = 250;

/** A request that is to be served. */
export interface ForwardRequest {
  readonly route: RouteRecord;
  readonly service: string;
  readonly coldPerSecond: number;
  readonly requestId: string;
  readonly object: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Monotonic times of the arrival and of the final answer at the latest. */
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

/** Whether a server is in the regions of a route. */
export type SendPlace = "inside" | "outside";

/** One send of a request, for the decision log. */
export interface SendRecord {
  readonly server: string;
  readonly zone: string;
  readonly region: string;
  /** Version of the configuration that was in force at the send. */
  readonly configuration: number | undefined;
  /** Where the server is against the route's regions in that version;
   * undefined if the route has none. */
  readonly place: SendPlace | undefined;
  /** Place of the server in the order of the request's object. */
  readonly rank: number;
  /** Time in milliseconds in which the answer was expected. */
  readonly expectedMs: number;
  readonly result: string;
  readonly elapsedMs: number;
}

/** The outcome of a request with its sends. */
export interface ForwardResult {
  readonly outcome: RequestOutcome;
  readonly sends: readonly SendRecord[];
  /** Why no server, or no further one, was tried. */
  readonly refusal?: {
    readonly reason: string;
    readonly inputs: RefusalInputs | undefined;
  };
}

/** Options of `createForwarder`. */
export interface ForwarderOptions {
  readonly catalog: Catalog;
  readonly placer: Placer;
  readonly backend: BackendClient;
  readonly budgets: RetryBudgets;
  readonly protocol: CallerProtocol;
  readonly metrics: EdgeMetrics;
}

/** Serves requests through backend servers. */
export interface Forwarder {
  forward(request: ForwardRequest): Promise<ForwardResult>;
}

/** Creates the forwarder of one entry. */
export function createForwarder(options: ForwarderOptions): Forwarder {
  return {
    forward: (request) => new Run(request, options).run(),
  };
}

/** A send of which the result is awaited. */
interface OpenSend {
  readonly result: Promise<BackendResult>;
  readonly progress: SendProgress;
}

/** How far a send is. */
interface SendProgress {
  readonly controller: AbortController;
  /** True once the answer took far longer than expected. */
  isOverdue: boolean;
}

class Run {
  readonly #request: ForwardRequest;
  readonly #options: ForwarderOptions;
  readonly #sends: SendRecord[] = [];
  readonly #tried = new Set<string>();
  /** True once a server may have run the request. */
  #mayHaveRun = false;
  /** What decided that the request, or its retry, is not sent. */
  #refusal: RefusalInputs | undefined;
  #refusalReason: string | undefined;
  /** A server's own failure, kept while another server is tried. */
  #failure: RequestOutcome | undefined;

  constructor(request: ForwardRequest, options: ForwarderOptions) {
    this.#request = request;
    this.#options = options;
  }

  async run(): Promise<ForwardResult> {
    const { budgets, placer } = this.#options;
    const { service, route } = this.#request;
    budgets.recordRequest(service);
    placer.recordArrival();
    while (true) {
      const placement = this.#place();
      if (placement.type === "refuse") {
        this.#refusal = placement.inputs;
        return this.#end(
          this.#settle(placement.reason, placement.retryAfterMs),
        );
      }
      if (this.#sends.length > 0 && !budgets.takeRetry(service)) {
        return this.#end(this.#settle("retry-budget", REFUSED_RETRY_MS));
      }
      const result = await this.#sendWithBackup(placement);
      const { verdict } = SEND_RESULTS[result.type];
      const isFailure = result.type === "answered" && result.status >= 500;
      if (isFailure && route.repeatable) {
        // Another server may answer; if none does, the failure is the answer.
        this.#failure = this.#finish(result);
      } else if (verdict === "answer" || verdict === "stop") {
        return this.#end(this.#finish(result));
      }
      if (verdict === "may-have-run") this.#mayHaveRun = true;
      const isSpent = this.#tried.size >= route.maxAttempts ||
        (this.#mayHaveRun && !route.repeatable);
      if (isSpent) {
        return this.#end(this.#settle("servers-refused", REFUSED_RETRY_MS));
      }
    }
  }

  #place(): Placement {
    const { catalog, placer } = this.#options;
    const nowMs = performance.now();
    const servers = catalog.findServers(this.#request.service, nowMs);
    return placer.place(this.#buildPlaceRequest(), servers, nowMs);
  }

  /**
   * Sends to one server, and to a second one if the answer takes far longer
   * than expected: it may be lost, or the server slow. The first answer counts.
   */
  async #sendWithBackup(placement: SendPlacement): Promise<BackendResult> {
    const first = this.#startSend(placement);
    if (!this.#request.route.repeatable) return first.result;
    const isEarly = await Promise.race([
      first.result.then(() => true),
      wait(computeBackupDelay(placement.expectedMs)).then(() => false),
    ]);
    first.progress.isOverdue = !isEarly;
    const backup = isEarly ? undefined : this.#startBackup();
    if (backup === undefined) return first.result;
    const result = await takeFirstAnswer([first.result, backup.result]);
    first.progress.controller.abort();
    backup.progress.controller.abort();
    return result;
  }

  #startBackup(): OpenSend | undefined {
    const { budgets } = this.#options;
    const { route, service, signal } = this.#request;
    if (signal.aborted || this.#tried.size >= route.maxAttempts) {
      return undefined;
    }
    const placement = this.#place();
    if (placement.type === "refuse" || !placement.hasSlot) return undefined;
    if (!budgets.takeRetry(service)) return undefined;
    return this.#startSend(placement);
  }

  #startSend(placement: SendPlacement): OpenSend {
    const controller = new AbortController();
    const progress = { controller, isOverdue: false };
    const { signal } = this.#request;
    const abort = () => controller.abort();
    signal.addEventListener("abort", abort, { once: true });
    this.#tried.add(placement.server.record.id);
    const result = this.#send(placement, progress).finally(() =>
      signal.removeEventListener("abort", abort)
    );
    return { result, progress };
  }

  #buildPlaceRequest(): PlaceRequest {
    const { route, service, object, arrivedAtMs, deadlineAtMs, coldPerSecond } =
      this.#request;
    const nowMs = performance.now();
    return {
      service,
      route: route.name,
      object: route.sticky ? object : undefined,
      targetLatencyMs: route.targetLatencyMs,
      remainingMs: deadlineAtMs - nowMs - ANSWER_MARGIN_MS,
      ageMs: nowMs - arrivedAtMs,
      allowedRegions: route.allowedRegions,
      excluded: this.#tried,
      coldPerSecond,
    };
  }

  async #send(
    placement: SendPlacement,
    progress: SendProgress,
  ): Promise<BackendResult> {
    const placeRequest = this.#buildPlaceRequest();
    const { placer, backend, protocol } = this.#options;
    const request = this.#request;
    const { server } = placement;
    const { record } = server;
    const startedAtMs = performance.now();
    let load: ServerLoadReport | undefined;
    let isMisdirected = false;
    const onHead = (status: number, headers: IncomingHttpHeaders) => {
      load = protocol.readLoad(headers);
      isMisdirected = status === 421;
    };
    placer.recordSend(placement, placeRequest, startedAtMs);
    const place = this.#readPlace(server.region);
    const configuration = this.#options.catalog.document?.version;
    const result = await backend.send({
      address: record.address,
      method: request.method,
      path: request.path,
      headers: { ...request.headers, [protocol.targetHeader]: record.id },
      body: request.body,
      deadlineMs: request.deadlineAtMs - startedAtMs - ANSWER_MARGIN_MS,
      requestId: request.requestId,
      signal: progress.controller.signal,
      onHead,
    });
    const nowMs = performance.now();
    const elapsedMs = nowMs - startedAtMs;
    // Another server has the address: the one that was meant is gone.
    const outcome = isMisdirected
      ? "unreachable"
      : this.#readOutcome(result, progress);
    const end: SendEnd = { outcome, elapsedMs, load };
    placer.recordEnd(placement, placeRequest, { ...end, nowMs });
    const name = isMisdirected ? "misdirected" : result.type;
    this.#recordSend(placement, {
      result: name,
      elapsedMs: Math.round(elapsedMs),
      place,
      configuration,
    });
    return result;
  }

  /** Compares a server's region with the newest known form of the route. */
  #readPlace(region: string): SendPlace | undefined {
    const { catalog, metrics } = this.#options;
    const { route } = this.#request;
    const { allowedRegions } = catalog.routes?.get(route.name) ?? route;
    if (allowedRegions.length === 0) return undefined;
    const place = allowedRegions.includes(region) ? "inside" : "outside";
    metrics.boundSends.inc({ place });
    return place;
  }

  #recordSend(
    { server, rank, expectedMs }: SendPlacement,
    end: Pick<
      SendRecord,
      "result" | "elapsedMs" | "place" | "configuration"
    >,
  ): void {
    const { id, zone } = server.record;
    const { result } = end;
    // No byte was sent; the server is passed over while it is paused.
    if (result === "connection_refused") this.#tried.delete(id);
    this.#sends.push({
      server: id,
      zone,
      region: server.region,
      rank,
      expectedMs: Math.round(expectedMs),
      ...end,
    });
    const { service } = this.#request;
    this.#options.metrics.sends.inc({ service, outcome: result });
  }

  #readOutcome(result: BackendResult, progress: SendProgress): SendOutcome {
    // Another server answered earlier; this one may lose its answers.
    const wasBeaten = progress.isOverdue && !this.#request.signal.aborted;
    if (result.type === "cancelled" && wasBeaten) return "failed";
    // A failure that the server itself answers still tells about the server.
    if (result.type === "answered" && result.status >= 500) return "failed";
    return SEND_RESULTS[result.type].outcome;
  }

  #finish(result: BackendResult): RequestOutcome {
    if (result.type === "answered") {
      const { status, headers, body } = result;
      return { type: "answered", status, headers, body };
    }
    if (this.#request.signal.aborted) return { type: "abandoned" };
    if (result.type === "not_authorized") return this.#settle("too-late", 0);
    return { type: "unknown", reason: "timed-out" };
  }

  /** The outcome when no further server is tried. */
  #settle(
    reason: "no-server" | "retry-budget" | "servers-refused" | "too-late",
    retryAfterMs: number,
  ): RequestOutcome {
    this.#refusalReason = reason;
    if (this.#failure !== undefined) return this.#failure;
    return this.#mayHaveRun
      ? { type: "unknown", reason: "answer-lost" }
      : { type: "not-run", reason, retryAfterMs };
  }

  #end(outcome: RequestOutcome): ForwardResult {
    const result = { outcome, sends: this.#sends };
    if (this.#refusalReason === undefined) return result;
    const refusal = { reason: this.#refusalReason, inputs: this.#refusal };
    return { ...result, refusal };
  }
}
