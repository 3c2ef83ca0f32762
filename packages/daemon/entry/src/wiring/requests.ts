/**
 * Builds what handles callers' requests and peers' messages.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import type Koa from "koa";
import { createIssuedKeys } from "@dotterelmoor/core.claiming";
import type { IssuedKeys } from "@dotterelmoor/core.claiming";
import { computeFingerprint } from "@dotterelmoor/core.quarantine";
import {
  buildGroupKey,
  buildLookupAnswer,
  findService,
} from "@dotterelmoor/core.steering";
import type { PeerHandlers } from "@dotterelmoor/network.peering";
import { createPeerHandlers } from "../connection/peer_handlers.ts";
import { createRetryBudgets } from "../process/retry_budgets.ts";
import type { RetryBudgets } from "../process/retry_budgets.ts";
import { createCallerApp } from "../request/caller_app.ts";
import type { AnswerReport, LookupResult } from "../request/caller_app.ts";
import { runRequest } from "../request/front.ts";
import type { CallerRequest, RequestRunnerOptions } from "../request/front.ts";
import { createKeyClaimer } from "../request/key_claims.ts";
import { createTargetRunner } from "../request/target_runner.ts";
import type { RoutingView } from "../version/routing_view.ts";
import type { Base } from "./base.ts";
import { findOwnerAddress } from "./parts.ts";
import type { Parts } from "./parts.ts";

const ISSUED_KEY_SECRET_BYTES = 32;

/** Handlers of callers and peers. */
export interface Requests {
  readonly callerApp: Koa;
  readonly peerHandlers: PeerHandlers;
  /** Callers' requests in progress. */
  readonly count: () => number;
}

/** Creates the handlers of callers and peers. */
export function createRequests(base: Base, parts: Parts): Requests {
  const { clock, settings, state } = base;
  const issuedKeys = createIssuedKeys({
    processId: base.processId,
    secret: randomBytes(ISSUED_KEY_SECRET_BYTES),
    random: base.random,
  });
  const budgets = createRetryBudgets({
    nowMs: clock.nowMs,
    findLimits: (service) =>
      state.view && findService(state.view.snapshot, service)?.retry,
  });
  const front = buildFront(base, parts, { budgets, issuedKeys });
  let count = 0;

  async function run(request: CallerRequest, signal: AbortSignal) {
    budgets.recordRequest(request.service);
    count += 1;
    try {
      return await runRequest(front, request, signal);
    } finally {
      count -= 1;
    }
  }

  const callerApp = createCallerApp({
    lookUp: (service, client) =>
      lookUp(base, parts, { service, client, issuedKeys }),
    runRequest: run,
    isReady: () =>
      state.view !== undefined && parts.configuration.keeper.isReady(),
    isLeaving: () => state.leaving,
    nowMs: clock.nowMs,
    onAnswer: (report) => recordAnswer(base, report),
  });
  const peerHandlers = createPeerHandlers({
    ...parts,
    region: settings.region,
    nowMs: clock.nowMs,
    runSubmitted: run,
    findOwnerAddress: (service) =>
      findOwnerAddress(parts, buildGroupKey(service, settings.region)),
  });
  return { callerApp, peerHandlers, count: () => count };
}

interface FrontState {
  readonly budgets: RetryBudgets;
  readonly issuedKeys: IssuedKeys;
}

function buildFront(
  base: Base,
  parts: Parts,
  { budgets, issuedKeys }: FrontState,
): RequestRunnerOptions {
  const { clock, peers, processId, settings, state } = base;
  return {
    region: settings.region,
    random: base.random,
    nowMs: clock.nowMs,
    getView: () => state.view,
    computeFingerprint: (request, key) =>
      computeFingerprint({ ...request, key }),
    takeRetry: budgets.takeRetry,
    claimKey: createKeyClaimer({
      processId,
      region: settings.region,
      nowMs: clock.nowMs,
      issuedKeys,
      links: parts.links,
      claims: parts.claims,
      peers,
      findProcess: parts.membership.findProcess,
    }),
    runAtTarget: createTargetRunner({
      region: settings.region,
      nowMs: clock.nowMs,
      groups: parts.groups,
      links: parts.links,
      peers,
      findOwnerAddress: (resource) => findOwnerAddress(parts, resource),
    }),
  };
}

interface LookupInput {
  readonly service: string;
  readonly client: string;
  readonly issuedKeys: IssuedKeys;
}

function lookUp(base: Base, parts: Parts, input: LookupInput): LookupResult {
  const view = base.state.view!;
  const nowMs = base.clock.nowMs();
  const { service, client, issuedKeys } = input;
  const answer = buildLookupAnswer({
    service,
    client,
    homeRegion: view.resolveHome(client),
    snapshot: view.snapshot,
    members: parts.membership.membership.members(),
    groups: view.listGroups(service),
    nowMs,
  });
  // A key issued while leaving would outlive its entry.
  const isIssuing = needsKey(view, service) && !base.state.leaving;
  return {
    ...answer,
    ttlMs: base.settings.lookupTtlMs,
    issuedKey: isIssuing ? issuedKeys.issue(nowMs) : undefined,
  };
}

function needsKey(view: RoutingView, service: string): boolean {
  const kinds = findService(view.snapshot, service)?.kinds ?? [];
  return kinds.some((kind) => !kind.repeatable);
}

function recordAnswer(base: Base, report: AnswerReport): void {
  const { request, outcome, latencyMs } = report;
  const reason = outcome.type === "answered" ? "" : outcome.reason;
  base.metrics.recordLatency(request.service, latencyMs);
  base.metrics.recordOutcome(request.service, outcome.type, reason);
  base.logOf("entry").debug({
    requestId: request.requestId,
    service: request.service,
    outcome: outcome.type,
    reason,
    latencyMs,
  }, "Answered.");
}
