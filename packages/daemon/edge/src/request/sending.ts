/**
 * Sends one request to servers, and records what the results show about them.
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
import type {
  ForwardRequest,
  RegionMatch,
  SendRecord,
} from "./forward_types.ts";
import type { QuarantineGate } from "./quarantine_gate.ts";
import { getRunEnd, SEND_RESULTS } from "./send_results.ts";
import type { SendResult } from "./send_results.ts";
import type { SendPolicy, SendPolicyReader } from "./send_policy.ts";

/** Part of the deadline in milliseconds that is reserved for passing the answer
 * back to the caller. */
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
  readonly policyReader: SendPolicyReader;
  readonly gate: QuarantineGate;
}

/** A send that was decided on. */
export interface SendDecision {
  readonly placement: SendPlacement;
  readonly placeRequest: PlaceRequest;
  readonly policy: SendPolicy;
  /** True if the request may have run before. */
  readonly isRepeat: boolean;
  /** True if the request is quarantined, and this send is its trial. */
  readonly isTrial: boolean;
}

/** A send in progress. */
export interface PendingSend {
  readonly result: Promise<SendResult>;
  readonly progress: SendProgress;
}

/** State of a send in progress. */
export interface SendProgress {
  readonly controller: AbortController;
  /** True once the answer is far slower than expected. */
  isOverdue: boolean;
}

/** What is recorded about a send from the check before its first byte on. */
interface WrittenSend {
  load?: ServerLoadReport | undefined;
  status?: number;
  connection?: number;
  isMisdirected?: boolean;
  isHeldBack?: boolean;
  place?: RegionMatch | undefined;
  configuration?: number | undefined;
}

/** Sends one request to servers. */
export class RequestSender {
  readonly sends: SendRecord[] = [];
  /** Ids of the servers that may have received the request. */
  readonly tried = new Set<string>();
  readonly #request: ForwardRequest;
  readonly #options: RequestSenderOptions;

  constructor(request: ForwardRequest, options: RequestSenderOptions) {
    this.#request = request;
    this.#options = options;
  }

  /** True if a server was tried, so that the next send counts against the retry
   * budget. A refused connection counts as a try; a send that was held back
   * does not. */
  get hasSent(): boolean {
    return this.sends.some(({ result }) => result !== "held_back");
  }

  start(decision: SendDecision): PendingSend {
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
    // Another server now listens on the address; the intended one is gone.
    const outcome = written.isMisdirected
      ? "unreachable"
      : this.#chooseSendOutcome(result, progress);
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
      status: written.status,
      connection: written.connection,
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
    const { deadlineAtMs } = decision.policy;
    const { method, path, headers, body, requestId } = this.#request;
    const result = await backend.send({
      address: record.address,
      method,
      path,
      headers,
      ownHeaders: { [protocol.targetHeader]: record.id },
      body,
      deadlineMs: deadlineAtMs - performance.now() - ANSWER_MARGIN_MS,
      requestId,
      signal: controller.signal,
      workLimitMs: () => this.#checkWrite(decision, written),
      onWrite: (connection: number) => written.connection = connection,
      onHead: (status: number, headers: IncomingHttpHeaders) => {
        written.status = status;
        written.load = protocol.readLoad(headers);
        written.isMisdirected = status === 421;
        // The notice of another server says nothing about the intended one.
        if (written.isMisdirected) return;
        this.#applyNotice(decision, protocol.readNotice(status, headers));
      },
    });
    return written.isHeldBack ? { type: "held_back" } : result;
  }

  /** Applies a server's notice at once, before the server's record in the store
   * changes. */
  #applyNotice(
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

  /** Checks the send again just before its first byte is written, as the
   * catalog may have changed while it waited for a connection. Returns the time
   * in milliseconds that the server may work; 0 if the send is forbidden. */
  #checkWrite(decision: SendDecision, written: WrittenSend): number {
    const { catalog, placer, metrics, policyReader, gate } = this.#options;
    const newest = policyReader.read();
    const { server } = decision.placement;
    const nowMs = performance.now();
    written.isHeldBack = newest === undefined ||
      !policyReader.isConfirmed(newest) ||
      !isAllowed(decision, newest) || !this.#isListed(decision) ||
      !(decision.isRepeat || policyReader.endsInTime(newest)) ||
      !(decision.isTrial || gate.isOpen(server)) ||
      placer.wantsNone(server, nowMs);
    if (written.isHeldBack) return 0;
    written.configuration = catalog.document?.version;
    written.place = findRegionMatch(decision, newest!.route);
    if (written.place !== undefined) {
      metrics.boundSends.inc({ place: written.place });
    }
    return newest!.deadlineAtMs - performance.now() - ANSWER_MARGIN_MS;
  }

  /** False if the server is draining or gone, or its zone was evacuated. */
  #isListed({ placement, policy }: SendDecision): boolean {
    const { id } = placement.server.record;
    return this.#options.catalog
      .findServers(policy.service, performance.now())
      .some(({ record }) => record.id === id);
  }

  #record(
    { placement, policy }: SendDecision,
    end: Pick<
      SendRecord,
      | "configuration"
      | "connection"
      | "elapsedMs"
      | "place"
      | "result"
      | "status"
    >,
  ): void {
    const { server, rank, expectedMs } = placement;
    const { id, zone } = server.record;
    const { result } = end;
    // No byte was sent, so the server may be tried again. One that refuses
    // connections is not selected while it is paused, and one whose send was
    // held back may be allowed again.
    if (UNSENT_RESULTS.has(result)) this.tried.delete(id);
    this.sends.push({
      server: id,
      zone,
      region: server.region,
      rank,
      expectedMs: Math.round(expectedMs),
      ...end,
    });
    const { service } = policy;
    this.#options.metrics.sends.inc({ service, outcome: result });
  }

  #chooseSendOutcome(result: SendResult, progress: SendProgress): SendOutcome {
    // The backup request was answered first; this server may lose its answers.
    const wasBeaten = progress.isOverdue && !this.#request.signal.aborted;
    if (result.type === "cancelled" && wasBeaten) return "failed";
    // A 5xx answer counts as a failure of the server.
    if (result.type === "answered" && result.status >= 500) return "failed";
    return SEND_RESULTS[result.type].outcome;
  }
}

function isAllowed(decision: SendDecision, newest: SendPolicy): boolean {
  return newest.service === decision.policy.service &&
    (newest.repeatable || !decision.isRepeat) &&
    findRegionMatch(decision, newest.route) !== "outside";
}

/** Returns whether a server is in the regions that a route allows; undefined if
 * the route allows all. */
function findRegionMatch(
  { placement }: SendDecision,
  { allowedRegions }: RouteRecord,
): RegionMatch | undefined {
  if (allowedRegions.length === 0) return undefined;
  const isInside = allowedRegions.includes(placement.server.region);
  return isInside ? "inside" : "outside";
}

/** Results of sends of which no byte was written. */
const UNSENT_RESULTS: ReadonlySet<string> = new Set<SendResult["type"]>([
  "connection_refused",
  "held_back",
]);
