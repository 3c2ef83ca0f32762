/**
 * Takes a caller's request to the owner of a group and back.
 *
 * @module
 */

import { computeBackoffMs } from "@dotterelmoor/core.retrying";
import { findRequestKind, findService } from "@dotterelmoor/core.steering";
import type { Target } from "@dotterelmoor/core.steering";
import type {
  NotRun,
  NotRunReason,
  Outcome,
  OutcomeUnknown,
  Random,
  RequestKind,
} from "@dotterelmoor/core.types";
import { waitForReads } from "@dotterelmoor/network.timing";
import type { ClaimResult } from "../process/claims_part.ts";
import type { RoutingView } from "../version/routing_view.ts";
import type { Execution } from "./execution.ts";
import { makeNotRun } from "./not_run.ts";

/** Wait in milliseconds that refusals here suggest to the caller. */
const RETRY_AFTER_MS = 1_000;
/** Attempts over all targets; a certain not-run makes each one safe. */
const MAX_ROUNDS = 20;
const ROUND_PAUSE_MS = 25;
const MAX_ROUND_PAUSE_MS = 400;
/** Remaining time below which no further attempt is made. */
const MIN_ATTEMPT_MS = 20;

/** A caller's request as the listener received it. */
export interface CallerRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly client: string;
  readonly requestId: string;
  /** Time that the caller waits, if it says so. */
  readonly deadlineMs?: number;
}

/** What the front entry needs from the rest of the process. */
export interface FrontParts {
  readonly region: string;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly getView: () => RoutingView | undefined;
  readonly computeFingerprint: (
    request: CallerRequest,
    key: string | undefined,
  ) => string;
  readonly claimKey: (
    request: CallerRequest,
    key: string,
    details: { readonly fingerprint: string; readonly expiresAtMs: number },
  ) => Promise<KeyClaim>;
  /** Asks the retry budget of a service for one more attempt. */
  readonly takeRetry: (service: string) => boolean;
  readonly runAtTarget: (
    target: Target,
    execution: Execution,
    signal: AbortSignal,
  ) => Promise<Outcome>;
}

/** A claim on an idempotency key, and how to end it. */
export interface KeyClaim {
  readonly result: ClaimResult | {
    readonly type: "forwarded";
    readonly outcome: Outcome;
  };
  /** Gives the key back; the request certainly did not run. */
  release(): void;
  finish(): void;
}

/** Reasons that another target or another attempt cannot change. */
const FINAL_REASONS: ReadonlySet<NotRunReason> = new Set([
  "key-missing",
  "not-configured",
  "quarantined",
  "store-unavailable",
  "too-large",
]);

/** Reasons that pass within moments, such as while a group is handed over. */
const PASSING_REASONS: ReadonlySet<NotRunReason> = new Set([
  "authority-lapsed",
  "closing",
  "group-closed",
  "not-owner",
  "peer-unreachable",
  "server-refused",
]);

/** Runs a caller's request; the signal tells that the caller left. */
export async function runRequest(
  parts: FrontParts,
  request: CallerRequest,
  signal: AbortSignal,
): Promise<Outcome> {
  await waitForReads();
  if (signal.aborted) return { type: "unknown", reason: "caller-left" };
  const view = parts.getView();
  const service = view && findService(view.snapshot, request.service);
  const kind = service &&
    findRequestKind(service, request.method, request.path);
  if (view === undefined || kind === undefined) {
    return makeNotRun("not-configured", RETRY_AFTER_MS);
  }
  const key = kind.keyHeader === undefined
    ? undefined
    : request.headers[kind.keyHeader];
  if (!kind.repeatable && !key) {
    return makeNotRun("key-missing", RETRY_AFTER_MS);
  }
  const execution = buildExecution(parts, { request, kind, key, view });
  if (kind.repeatable || key === undefined) {
    return runRounds(parts, execution, signal);
  }
  return await runOnce(parts, { request, key, execution, signal });
}

interface ExecutionInput {
  readonly request: CallerRequest;
  readonly kind: RequestKind;
  readonly key: string | undefined;
  readonly view: RoutingView;
}

function buildExecution(parts: FrontParts, input: ExecutionInput): Execution {
  const { request, kind, key, view } = input;
  const allowedMs = Math.min(
    kind.deadlineMs,
    request.deadlineMs ?? Number.POSITIVE_INFINITY,
  );
  return {
    service: request.service,
    homeRegion: view.resolveHome(request.client),
    frontRegion: parts.region,
    kind: kind.name,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    deadlineAtMs: parts.nowMs() + allowedMs,
    priority: kind.priority,
    repeatable: kind.repeatable,
    key,
    fingerprint: parts.computeFingerprint(request, key),
    requestId: request.requestId,
  };
}

interface OnceInput {
  readonly request: CallerRequest;
  readonly key: string;
  readonly execution: Execution;
  readonly signal: AbortSignal;
}

/** Runs a non-repeatable request under a claim on its key. */
async function runOnce(parts: FrontParts, input: OnceInput): Promise<Outcome> {
  const { execution } = input;
  const claim = await parts.claimKey(input.request, input.key, {
    fingerprint: execution.fingerprint,
    expiresAtMs: execution.deadlineAtMs,
  });
  if (claim.result.type === "forwarded") return claim.result.outcome;
  if (claim.result.type === "not-run") {
    return makeNotRun(claim.result.reason, RETRY_AFTER_MS);
  }
  if (claim.result.type === "unknown") return claim.result;
  const outcome = await runRounds(parts, execution, input.signal);
  if (outcome.type === "not-run") claim.release();
  else claim.finish();
  return outcome;
}

/** Tries all targets, again while the reasons of refusal may pass. */
async function runRounds(
  parts: FrontParts,
  execution: Execution,
  signal: AbortSignal,
): Promise<Outcome> {
  let last: NotRun = makeNotRun("group-closed", RETRY_AFTER_MS);
  for (let round = 1; round <= MAX_ROUNDS; round += 1) {
    const outcome = await runRound(parts, execution, signal);
    if (outcome.type !== "not-run") return outcome;
    last = outcome;
    const pauseMs = computeBackoffMs(round, {
      random: parts.random,
      baseMs: ROUND_PAUSE_MS,
      maxMs: MAX_ROUND_PAUSE_MS,
    });
    const leftMs = execution.deadlineAtMs - parts.nowMs() - pauseMs;
    if (
      !PASSING_REASONS.has(outcome.reason) || leftMs < MIN_ATTEMPT_MS ||
      signal.aborted
    ) {
      return last;
    }
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
  return last;
}

async function runRound(
  parts: FrontParts,
  execution: Execution,
  signal: AbortSignal,
): Promise<Outcome> {
  const view = parts.getView()!;
  const targets = view.chooseTargets(
    execution.service,
    execution.homeRegion,
    parts.nowMs(),
  );
  let first: NotRun | undefined;
  let lost: OutcomeUnknown | undefined;
  for (const target of targets) {
    if (execution.deadlineAtMs - parts.nowMs() < MIN_ATTEMPT_MS) break;
    if (signal.aborted) break;
    const outcome = await parts.runAtTarget(target, execution, signal);
    if (outcome.type === "unknown" && canTryNext(parts, execution, outcome)) {
      lost = outcome;
      continue;
    }
    if (outcome.type !== "not-run") return outcome;
    if (FINAL_REASONS.has(outcome.reason)) return lost ?? outcome;
    first ??= outcome;
  }
  // A lost attempt may have taken effect, whatever the later ones said. Else
  // the best target's reason counts: another round helps only if that passes.
  return lost ?? first ?? makeNotRun("deadline-too-short", RETRY_AFTER_MS);
}

/** A repeatable request may go on when the owner was lost on the way. */
function canTryNext(
  parts: FrontParts,
  execution: Execution,
  outcome: OutcomeUnknown,
): boolean {
  return outcome.reason === "peer-lost" && execution.repeatable &&
    parts.takeRetry(execution.service);
}
