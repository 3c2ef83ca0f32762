/**
 * Runs callers' requests: claims the idempotency key, chooses the targets and
 * retries refused attempts.
 *
 * @module
 */

import { computeBackoffMs } from "@dotterelmoor/core.retrying";
import { findRequestKind, findService } from "@dotterelmoor/core.steering";
import type { Target } from "@dotterelmoor/core.steering";
import type {
  HeaderMap,
  NotRun,
  NotRunReason,
  Outcome,
  OutcomeUnknown,
  Random,
  RequestKind,
} from "@dotterelmoor/core.types";
import { joinValues } from "@dotterelmoor/network.backend";
import { waitForSocketReads } from "@dotterelmoor/network.timing";
import type { ClaimResult } from "../process/claims_component.ts";
import type { RoutingView } from "../version/routing_view.ts";
import type { Execution } from "./execution.ts";
import { makeNotRun } from "./not_run.ts";

/** Wait that refusals made by this module suggest to the caller. */
const RETRY_AFTER_MS = 1_000;
/**
 * Maximum number of rounds over all targets. Another round is safe because
 * `not-run` means that the request certainly did not run.
 */
const MAX_ROUNDS = 20;
const ROUND_PAUSE_MS = 25;
const MAX_ROUND_PAUSE_MS = 400;
/** Minimum time before the deadline for another attempt. */
const MIN_ATTEMPT_MS = 20;

/** A caller's request as the listener received it. */
export interface CallerRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Network address of the caller. */
  readonly client: string;
  readonly requestId: string;
  /** Time in milliseconds that the caller will wait, if it sent one. */
  readonly deadlineMs?: number;
}

/** Dependencies of `runRequest`. */
export interface RequestRunnerOptions {
  readonly region: string;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly getView: () => RoutingView | undefined;
  readonly computeFingerprint: (
    request: CallerRequest,
    key: string | undefined,
  ) => string;
  /** Time until the quarantine of a request ends; 0 without one. */
  readonly getQuarantineMs: (fingerprint: string) => number;
  readonly claimKey: (
    request: CallerRequest,
    key: string,
    details: { readonly fingerprint: string; readonly expiresAtMs: number },
  ) => Promise<KeyClaim>;
  /** Takes a retry from the budget of a service; false if there is none. */
  readonly takeRetry: (service: string) => boolean;
  readonly runAtTarget: (
    target: Target,
    execution: Execution,
    signal: AbortSignal,
  ) => Promise<Outcome>;
}

/** A claim on an idempotency key. */
export interface KeyClaim {
  readonly result: ClaimResult | {
    readonly type: "forwarded";
    readonly outcome: Outcome;
  };
  /** Releases the key; the request certainly did not run. */
  release(): void;
  /** Keeps the key claimed; the request ran or may have run. */
  finish(): void;
}

/** Reasons for which neither another target nor a retry can help. */
const FINAL_REASONS: ReadonlySet<NotRunReason> = new Set([
  "key-missing",
  "not-configured",
  "quarantined",
  "store-unavailable",
  "too-large",
]);

/** Transient reasons, such as those during the handover of a group. */
const TRANSIENT_REASONS: ReadonlySet<NotRunReason> = new Set([
  "authority-lapsed",
  "closing",
  "group-closed",
  "not-owner",
  "peer-unreachable",
  "server-refused",
]);

/** Runs a caller's request; the signal aborts when the caller disconnects. */
export async function runRequest(
  options: RequestRunnerOptions,
  request: CallerRequest,
  signal: AbortSignal,
): Promise<Outcome> {
  await waitForSocketReads();
  if (signal.aborted) return { type: "unknown", reason: "caller-left" };
  const view = options.getView();
  const service = view && findService(view.snapshot, request.service);
  const kind = service &&
    findRequestKind(service, request.method, request.path);
  if (view === undefined || kind === undefined) {
    return makeNotRun("not-configured", RETRY_AFTER_MS);
  }
  const key = kind.keyHeader === undefined
    ? undefined
    : joinValues(request.headers[kind.keyHeader]);
  if (!kind.repeatable && !key) {
    return makeNotRun("key-missing", RETRY_AFTER_MS);
  }
  const execution = buildExecution(options, { request, kind, key, view });
  const quarantineMs = options.getQuarantineMs(execution.fingerprint);
  if (quarantineMs > 0) {
    return makeNotRun("quarantined", Math.ceil(quarantineMs));
  }
  if (kind.repeatable || key === undefined) {
    return runRounds(options, execution, signal);
  }
  return await runWithClaim(options, { request, key, execution, signal });
}

interface ExecutionInput {
  readonly request: CallerRequest;
  readonly kind: RequestKind;
  readonly key: string | undefined;
  readonly view: RoutingView;
}

function buildExecution(
  options: RequestRunnerOptions,
  input: ExecutionInput,
): Execution {
  const { request, kind, key, view } = input;
  const allowedMs = Math.min(
    kind.deadlineMs,
    request.deadlineMs ?? Number.POSITIVE_INFINITY,
  );
  return {
    service: request.service,
    homeRegion: view.resolveHome(request.client),
    frontRegion: options.region,
    kind: kind.name,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    deadlineAtMs: options.nowMs() + allowedMs,
    priority: kind.priority,
    repeatable: kind.repeatable,
    key,
    fingerprint: options.computeFingerprint(request, key),
    requestId: request.requestId,
  };
}

interface ClaimedRunInput {
  readonly request: CallerRequest;
  readonly key: string;
  readonly execution: Execution;
  readonly signal: AbortSignal;
}

/** Runs a non-repeatable request under a claim on its key. */
async function runWithClaim(
  options: RequestRunnerOptions,
  input: ClaimedRunInput,
): Promise<Outcome> {
  const { execution } = input;
  const claim = await options.claimKey(input.request, input.key, {
    fingerprint: execution.fingerprint,
    expiresAtMs: execution.deadlineAtMs,
  });
  if (claim.result.type === "forwarded") return claim.result.outcome;
  if (claim.result.type === "not-run") {
    return makeNotRun(claim.result.reason, RETRY_AFTER_MS);
  }
  if (claim.result.type === "unknown") return claim.result;
  const outcome = await runRounds(options, execution, input.signal);
  if (outcome.type === "not-run") claim.release();
  else claim.finish();
  return outcome;
}

/** Runs rounds over all targets while refusals may pass and time is left. */
async function runRounds(
  options: RequestRunnerOptions,
  execution: Execution,
  signal: AbortSignal,
): Promise<Outcome> {
  let last: NotRun = makeNotRun("group-closed", RETRY_AFTER_MS);
  for (let round = 1; round <= MAX_ROUNDS; round += 1) {
    const outcome = await runRound(options, execution, signal);
    if (outcome.type !== "not-run") return outcome;
    last = outcome;
    const pauseMs = computeBackoffMs(round, {
      random: options.random,
      baseMs: ROUND_PAUSE_MS,
      maxMs: MAX_ROUND_PAUSE_MS,
    });
    const leftMs = execution.deadlineAtMs - options.nowMs() - pauseMs;
    if (
      !TRANSIENT_REASONS.has(outcome.reason) || leftMs < MIN_ATTEMPT_MS ||
      signal.aborted
    ) {
      return last;
    }
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
  return last;
}

async function runRound(
  options: RequestRunnerOptions,
  execution: Execution,
  signal: AbortSignal,
): Promise<Outcome> {
  const view = options.getView()!;
  const targets = view.chooseTargets(
    execution.service,
    execution.homeRegion,
    options.nowMs(),
  );
  let first: NotRun | undefined;
  let lost: OutcomeUnknown | undefined;
  for (const target of targets) {
    if (execution.deadlineAtMs - options.nowMs() < MIN_ATTEMPT_MS) break;
    if (signal.aborted) break;
    const outcome = await options.runAtTarget(target, execution, signal);
    if (
      outcome.type === "unknown" &&
      takeRetryAfterLoss(options, execution, outcome)
    ) {
      lost = outcome;
      continue;
    }
    if (outcome.type !== "not-run") return outcome;
    if (FINAL_REASONS.has(outcome.reason)) return lost ?? outcome;
    first ??= outcome;
  }
  // A lost attempt may have taken effect, even if later ones were refused.
  // Otherwise report the reason of the best target, which decides whether
  // another round can help.
  return lost ?? first ?? makeNotRun("deadline-too-short", RETRY_AFTER_MS);
}

/** Takes a retry for a repeatable request whose owner was lost. */
function takeRetryAfterLoss(
  options: RequestRunnerOptions,
  execution: Execution,
  outcome: OutcomeUnknown,
): boolean {
  return outcome.reason === "peer-lost" && execution.repeatable &&
    options.takeRetry(execution.service);
}
