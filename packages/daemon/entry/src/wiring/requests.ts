/**
 * Creates the handlers of callers' requests and peers' messages.
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
import type { ProcessContext } from "./process_context.ts";
import { findOwnerAddress } from "./parts.ts";
import type { Components } from "./parts.ts";

const ISSUED_KEY_SECRET_BYTES = 32;

/** Handlers of callers' requests and peers' messages. */
export interface Requests {
  readonly callerApp: Koa;
  readonly peerHandlers: PeerHandlers;
  /** Counts requests in progress, including those submitted by peers. */
  readonly count: () => number;
}

/** Creates the handlers of callers' requests and peers' messages. */
export function createRequests(
  context: ProcessContext,
  components: Components,
): Requests {
  const { clock, settings, state } = context;
  const issuedKeys = createIssuedKeys({
    processId: context.processId,
    secret: randomBytes(ISSUED_KEY_SECRET_BYTES),
    random: context.random,
  });
  const budgets = createRetryBudgets({
    nowMs: clock.nowMs,
    findLimits: (service) =>
      state.view && findService(state.view.snapshot, service)?.retry,
  });
  const runnerOptions = buildRunnerOptions(context, components, {
    budgets,
    issuedKeys,
  });
  let count = 0;

  async function runCounted(request: CallerRequest, signal: AbortSignal) {
    budgets.recordRequest(request.service);
    count += 1;
    try {
      return await runRequest(runnerOptions, request, signal);
    } finally {
      count -= 1;
    }
  }

  const callerApp = createCallerApp({
    lookUp: (service, client) =>
      lookUp(context, components, { service, client, issuedKeys }),
    runRequest: runCounted,
    isReady: () =>
      state.view !== undefined && components.configuration.replica.isReady(),
    isLeaving: () => state.leaving,
    nowMs: clock.nowMs,
    onAnswer: (report) => recordAnswer(context, report),
    log: context.getLogger("entry"),
  });
  const peerHandlers = createPeerHandlers({
    ...components,
    region: settings.region,
    nowMs: clock.nowMs,
    runSubmitted: runCounted,
    findOwnerAddress: (service) =>
      findOwnerAddress(components, buildGroupKey(service, settings.region)),
  });
  return { callerApp, peerHandlers, count: () => count };
}

interface RequestState {
  readonly budgets: RetryBudgets;
  readonly issuedKeys: IssuedKeys;
}

function buildRunnerOptions(
  context: ProcessContext,
  components: Components,
  { budgets, issuedKeys }: RequestState,
): RequestRunnerOptions {
  const { clock, peers, processId, settings, state } = context;
  return {
    region: settings.region,
    random: context.random,
    nowMs: clock.nowMs,
    getView: () => state.view,
    computeFingerprint: (request, key) =>
      computeFingerprint({ ...request, key }),
    getQuarantineMs: (fingerprint) =>
      components.quarantine.quarantine.getRemainingMs(
        fingerprint,
        clock.nowMs(),
      ),
    takeRetry: budgets.takeRetry,
    claimKey: createKeyClaimer({
      processId,
      region: settings.region,
      nowMs: clock.nowMs,
      issuedKeys,
      links: components.links,
      claims: components.claims,
      peers,
      findProcess: components.membership.findProcess,
    }),
    runAtTarget: createTargetRunner({
      region: settings.region,
      nowMs: clock.nowMs,
      groups: components.groups,
      links: components.links,
      peers,
      findOwnerAddress: (resource) => findOwnerAddress(components, resource),
    }),
  };
}

interface LookupInput {
  readonly service: string;
  readonly client: string;
  readonly issuedKeys: IssuedKeys;
}

function lookUp(
  context: ProcessContext,
  components: Components,
  input: LookupInput,
): LookupResult {
  const view = context.state.view!;
  const nowMs = context.clock.nowMs();
  const { service, client, issuedKeys } = input;
  const answer = buildLookupAnswer({
    service,
    client,
    homeRegion: view.resolveHome(client),
    snapshot: view.snapshot,
    members: components.membership.membership.members(),
    groups: view.listGroups(service),
    nowMs,
  });
  // A key issued while leaving would outlive its issuer.
  const isIssuing = hasKeyedKind(view, service) && !context.state.leaving;
  return {
    ...answer,
    ttlMs: context.settings.lookupTtlMs,
    issuedKey: isIssuing ? issuedKeys.issue(nowMs) : undefined,
  };
}

function hasKeyedKind(view: RoutingView, service: string): boolean {
  const kinds = findService(view.snapshot, service)?.kinds ?? [];
  return kinds.some((kind) => !kind.repeatable);
}

function recordAnswer(context: ProcessContext, report: AnswerReport): void {
  const { request, outcome, latencyMs } = report;
  const reason = outcome.type === "answered" ? "" : outcome.reason;
  context.metrics.recordLatency(request.service, latencyMs);
  context.metrics.recordOutcome(request.service, outcome.type, reason);
  context.getLogger("entry").debug({
    requestId: request.requestId,
    service: request.service,
    outcome: outcome.type,
    reason,
    latencyMs,
  }, "Request answered.");
}
