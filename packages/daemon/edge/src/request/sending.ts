/**
 * The sends of one request, and what they tell of their servers.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Catalog, RouteRecord } from "@dotterelmoor/core.catalog";
import type {
  Placer,
  PlaceRequest,
  SendEnd,
  SendOutcome,
  SendPlacement,
  ServerLoadReport,
} from "@dotterelmoor/core.placing";
import type { BackendClient } from "@dotterelmoor/network.backend";
import type { CallerProtocol, ServerNotice } from "../ports.ts";
import type { CrashQuarantine } from "../process/crash_quarantine.ts";
import type { CrashWatch } from "../process/crash_watch.ts";
import type { EdgeLog } from "../process/logging.ts";
import type { EdgeMetrics } from "../process/metrics.ts";
import type { ForwardRequest, SendPlace, SendRecord } from "./forward_types.ts";
import type { QuarantineGate } from "./quarantine_gate.ts";
import { getRunEnd, SEND_RESULTS } from "./send_results.ts";
import type { SendResult } from "./send_results.ts";
import type { SendTerms, TermsReader } from "./send_terms.ts";

/** Time in milliseconds kept for the answer on its way back to the caller. */
export const ANSWER_MARGIN_MS = 10;

/** Options of `RequestSender`. */
export interface RequestSenderOptions {
  readonly catalog: Catalog;
  readonly placer: Placer;
  readonly backend: BackendClient;
  readonly protocol: CallerProtocol;
  readonly crashes: CrashWatch;
  readonly quarantine: CrashQuarantine;
  readonly metrics: EdgeMetrics;
  readonly log: EdgeLog;
  readonly terms: TermsReader;
  readonly gate: QuarantineGate;
}

/** A send that was decided. */
export interface SendDecision {
  readonly placement: SendPlacement;
  readonly placeRequest: PlaceRequest;
  readonly terms: SendTerms;
  /** True if the request may have run before. */
  readonly isRepeat: boolean;
  /** True if the request is quarantined, and tried on this server. */
  readonly isTrial: boolean;
}

/** A send of which the result is awaited. */
export interface OpenSend {
  readonly result: Promise<SendResult>;
  readonly progress: SendProgress;
}

/** How far a send is. */
export interface SendProgress {
  readonly controller: AbortController;
  /** True once the answer took far longer than expected. */
  isOverdue: boolean;
}

/** What becomes known of a send from its first byte on. */
interface WrittenSend {
  load?: ServerLoadReport | undefined;
  isMisdirected?: boolean;
  isHeldBack?: boolean;
  place?: SendPlace | undefined;
  configuration?: number | undefined;
}

/** Sends one request to servers. */
export class RequestSender {
  readonly sends: SendRecord[] = [];
  /** Servers that may have got the request. */
  readonly tried = new Set<string>();
  readonly #request: ForwardRequest;
  readonly #options: RequestSenderOptions;

  constructor(request: ForwardRequest, options: RequestSenderOptions) {
    this.#request = request;
    this.#options = options;
  }

  /** True if a server was tried, also one that refused the connection: it counts
   * against the retry budget. A send that was held back tries none. */
  get hasSent(): boolean {
    return this.sends.some(({ result }) => result !== "held_back");
  }

  start(decision: SendDecision): OpenSend {
    const controller = new AbortController();
    const progress = { controller, isOverdue: false };
    const { signal } = this.#request;
    const abort = () => controller.abort();
    signal.addEventListener("abort", abort, { once: true });
    this.tried.add(decision.placement.server.record.id);
    const result = this.#send(decision, progress).finally(() =>
      signal.removeEventListener("abort", abort)
    );
    return { result, progress };
  }

  async #send(
    decision: SendDecision,
    progress: SendProgress,
  ): Promise<SendResult> {
    const { placement, placeRequest } = decision;
    const { placer, crashes, quarantine } = this.#options;
    const startedAtMs = performance.now();
    placer.recordSend(placement, placeRequest, startedAtMs);
    const written: WrittenSend = {};
    const result = await this.#write(decision, progress, written);
    const nowMs = performance.now();
    const elapsedMs = nowMs - startedAtMs;
    // Another server has the address: the one that was meant is gone.
    const outcome = written.isMisdirected
      ? "unreachable"
      : this.#readOutcome(result, progress);
    const end: SendEnd = { outcome, elapsedMs, load: written.load };
    placer.recordEnd(placement, placeRequest, { ...end, nowMs });
    if (!written.isMisdirected) {
      const { fingerprint } = this.#request;
      const { record: server } = placement.server;
      const runEnd = getRunEnd(result);
      const run = { fingerprint, server, startedAtMs };
      crashes.recordEnd(run, runEnd);
      quarantine.recordEnd(run, runEnd);
    }
    this.#record(decision, {
      result: written.isMisdirected ? "misdirected" : result.type,
      elapsedMs: Math.round(elapsedMs),
      place: written.place,
      configuration: written.configuration,
    });
    return result;
  }

  async #write(
    decision: SendDecision,
    { controller }: SendProgress,
    written: WrittenSend,
  ): Promise<SendResult> {
    const { backend, protocol } = this.#options;
    const { record } = decision.placement.server;
    const { deadlineAtMs } = decision.terms;
    const { method, path, headers, body, requestId } = this.#request;
    const result = await backend.send({
      address: record.address,
      method,
      path,
      headers: { ...headers, [protocol.targetHeader]: record.id },
      body,
      deadlineMs: deadlineAtMs - performance.now() - ANSWER_MARGIN_MS,
      requestId,
      signal: controller.signal,
      workLimitMs: () => this.#checkWrite(decision, written),
      onHead: (status: number, headers: IncomingHttpHeaders) => {
        written.load = protocol.readLoad(headers);
        written.isMisdirected = status === 421;
        // Another server at the address speaks of itself.
        if (written.isMisdirected) return;
        this.#takeNotice(decision, protocol.readNotice(status, headers));
      },
    });
    return written.isHeldBack ? { type: "held_back" } : result;
  }

  /** What a server says of itself holds at once, before its record tells. */
  #takeNotice(
    { placement: { server } }: SendDecision,
    { isLeaving, backOffMs }: ServerNotice,
  ): void {
    const { catalog, placer, metrics, log } = this.#options;
    const { id, bornMs } = server.record;
    const nowMs = performance.now();
    if (isLeaving) {
      catalog.markLeaving(id, bornMs, nowMs);
      metrics.serverNotices.inc({ notice: "leaving" });
      log.decide("Server says that it is leaving.", { server: id }, "catalog");
    }
    if (backOffMs !== undefined) {
      placer.recordBackOff(server, backOffMs, nowMs);
      metrics.serverNotices.inc({ notice: "back-off" });
      const fields = { server: id, backOffMs };
      log.decide("Server wants no requests.", fields, "catalog");
    }
  }

  /** Notes what holds as the first byte is written; returns the time in
   * milliseconds that the server may work, none if what is known now forbids
   * the send since it was decided, as while it waited for a connection. */
  #checkWrite(decision: SendDecision, written: WrittenSend): number {
    const { catalog, placer, metrics, terms, gate } = this.#options;
    const newest = terms.read();
    const { server } = decision.placement;
    const nowMs = performance.now();
    written.isHeldBack = newest === undefined || !terms.isConfirmed(newest) ||
      !isAllowed(decision, newest) || !this.#isListed(decision) ||
      !(decision.isTrial || gate.isOpen(server)) ||
      placer.wantsNone(server, nowMs);
    if (written.isHeldBack) return 0;
    written.configuration = catalog.document?.version;
    written.place = findPlace(decision, newest!.route);
    if (written.place !== undefined) {
      metrics.boundSends.inc({ place: written.place });
    }
    return newest!.deadlineAtMs - performance.now() - ANSWER_MARGIN_MS;
  }

  /** False if the server left, or its zone was evacuated. */
  #isListed({ placement, terms }: SendDecision): boolean {
    const { id } = placement.server.record;
    return this.#options.catalog
      .findServers(terms.service, performance.now())
      .some(({ record }) => record.id === id);
  }

  #record(
    { placement, terms }: SendDecision,
    end: Pick<
      SendRecord,
      "result" | "elapsedMs" | "place" | "configuration"
    >,
  ): void {
    const { server, rank, expectedMs } = placement;
    const { id, zone } = server.record;
    const { result } = end;
    // No byte was sent. A server that refuses connections is passed over while
    // it is paused, and one where a send was held back may be allowed again.
    if (UNSENT.has(result)) this.tried.delete(id);
    this.sends.push({
      server: id,
      zone,
      region: server.region,
      rank,
      expectedMs: Math.round(expectedMs),
      ...end,
    });
    const { service } = terms;
    this.#options.metrics.sends.inc({ service, outcome: result });
  }

  #readOutcome(result: SendResult, progress: SendProgress): SendOutcome {
    // Another server answered earlier; this one may lose its answers.
    const wasBeaten = progress.isOverdue && !this.#request.signal.aborted;
    if (result.type === "cancelled" && wasBeaten) return "failed";
    // A failure that the server itself answers still tells about the server.
    if (result.type === "answered" && result.status >= 500) return "failed";
    return SEND_RESULTS[result.type].outcome;
  }
}

function isAllowed(decision: SendDecision, newest: SendTerms): boolean {
  return newest.service === decision.terms.service &&
    (newest.repeatable || !decision.isRepeat) &&
    findPlace(decision, newest.route) !== "outside";
}

/** Where a server is against a route's regions; undefined if it has none. */
function findPlace(
  { placement }: SendDecision,
  { allowedRegions }: RouteRecord,
): SendPlace | undefined {
  if (allowedRegions.length === 0) return undefined;
  const isInside = allowedRegions.includes(placement.server.region);
  return isInside ? "inside" : "outside";
}

/** Results of sends of which no byte was written. */
const UNSENT: ReadonlySet<string> = new Set<SendResult["type"]>([
  "connection_refused",
  "held_back",
]);
