/**
 * Forwards a request to backend servers, with retries, until it has an outcome.
 *
 * @module
 */

import type {
  Placement,
  PlaceRequest,
  RefusalInputs,
} from "@dotterelmoor/core.placing";
import { wait } from "../process/intervals.ts";
import type { TrackedServer } from "@dotterelmoor/core.catalog";
import type { QuarantineInputs } from "../process/crash_quarantine.ts";
import type { RetryBudgets } from "../process/retry_budgets.ts";
import type { ForwardRequest, ForwardResult } from "./forward_types.ts";
import { LEAVING_RETRY_MS, promisesNotRun } from "./outcomes.ts";
import type { NotRunReason, RequestOutcome } from "./outcomes.ts";
import { QuarantineGate } from "./quarantine_gate.ts";
import {
  computeBackupDelay,
  SEND_RESULTS,
  waitForFirstAnswer,
} from "./send_results.ts";
import type { SendResult } from "./send_results.ts";
import { SendPolicyReader } from "./send_policy.ts";
import type { SendPolicy, SendPolicyReaderOptions } from "./send_policy.ts";
import { ANSWER_MARGIN_MS, RequestSender } from "./sending.ts";
import type {
  PendingSend,
  RequestSenderOptions,
  SendDecision,
} from "./sending.ts";

/** Time in milliseconds after which callers may retry a request that was not
 * run, as when servers refused it. */
const REFUSED_RETRY_MS = 250;

/** Options of `createForwarder`. */
export interface ForwarderOptions
  extends
    SendPolicyReaderOptions,
    Omit<RequestSenderOptions, "gate" | "policyReader"> {
  readonly budgets: RetryBudgets;
}

/** Forwards requests to backend servers. */
export interface Forwarder {
  forward(request: ForwardRequest): Promise<ForwardResult>;
}

/** Creates the forwarder of one entry. */
export function createForwarder(options: ForwarderOptions): Forwarder {
  return {
    forward: (request) => new ForwardRun(request, options).run(),
  };
}

/** The next step for a request. */
type Step =
  | { readonly type: "send"; readonly decision: SendDecision }
  /** Claims the trial of a quarantined request before it is sent. */
  | { readonly type: "claim"; readonly server: TrackedServer }
  | { readonly type: "end"; readonly outcome: RequestOutcome };

class ForwardRun {
  readonly #request: ForwardRequest;
  readonly #options: ForwarderOptions;
  readonly #policyReader: SendPolicyReader;
  readonly #gate: QuarantineGate;
  readonly #sender: RequestSender;
  #isCounted = false;
  /** True once a server may have run the request. */
  #mayHaveRun = false;
  /** Inputs of the decision not to send the request, or not to retry it. */
  #refusal: RefusalInputs | QuarantineInputs | undefined;
  #refusalReason: string | undefined;
  /** Outcome of an answer that reports a failure; returned if no other server
   * answers. */
  #failure: RequestOutcome | undefined;

  constructor(request: ForwardRequest, options: ForwarderOptions) {
    this.#request = request;
    this.#options = options;
    this.#policyReader = new SendPolicyReader(request, options);
    this.#gate = new QuarantineGate(request.fingerprint, options);
    const parts = { policyReader: this.#policyReader, gate: this.#gate };
    this.#sender = new RequestSender(request, { ...options, ...parts });
  }

  async run(): Promise<ForwardResult> {
    this.#options.placer.recordArrival();
    const { stalls } = this.#options;
    while (true) {
      // A disconnect of the caller is only read from the socket after its
      // request.
      await stalls.waitForPendingReads();
      const step = this.#decide();
      if (step.type === "end") return this.#end(step.outcome);
      if (step.type === "claim") {
        await this.#gate.claim(step.server);
        continue;
      }
      const result = await this.#sendWithBackup(step.decision);
      const outcome = this.#handleResult(result);
      if (outcome !== undefined) return this.#end(outcome);
    }
  }

  /** Decides the next step by the latest known configuration. */
  #decide(): Step {
    const { budgets } = this.#options;
    if (this.#request.signal.aborted) {
      return { type: "end", outcome: { type: "abandoned" } };
    }
    const policy = this.#policyReader.read();
    if (policy === undefined) return this.#stop("route-removed");
    const { service, route, repeatable } = policy;
    if (!this.#policyReader.isConfirmed(policy)) {
      return this.#stop("configuration-unconfirmed");
    }
    if (!this.#mayHaveRun && !this.#policyReader.endsInTime(policy)) {
      return this.#stop("leaving", LEAVING_RETRY_MS);
    }
    if (!this.#isCounted) budgets.recordRequest(service);
    this.#isCounted = true;
    const { tried } = this.#sender;
    const isExhausted = tried.size >= route.maxAttempts ||
      (this.#mayHaveRun && !repeatable);
    if (isExhausted) return this.#stop("servers-refused");
    const gate = this.#gate.check(policy, performance.now());
    if (gate.type === "claim") return gate;
    if (gate.type === "refuse") return this.#refuse(gate);
    const { placement, placeRequest } = this.#place(policy, gate.servers);
    if (placement.type === "refuse") return this.#refuse(placement);
    if (this.#sender.hasSent && !budgets.takeRetry(service)) {
      return this.#stop("retry-budget");
    }
    const isRepeat = this.#mayHaveRun;
    const { isTrial } = gate;
    const decision = { placement, placeRequest, policy, isRepeat, isTrial };
    return { type: "send", decision };
  }

  #refuse(
    { reason, retryAfterMs, inputs }: {
      readonly reason: NotRunReason;
      readonly retryAfterMs: number;
      readonly inputs?: RefusalInputs | QuarantineInputs;
    },
  ): Step {
    this.#refusal = inputs;
    return this.#stop(reason, retryAfterMs);
  }

  #stop(reason: NotRunReason, retryAfterMs = REFUSED_RETRY_MS): Step {
    return { type: "end", outcome: this.#settle(reason, retryAfterMs) };
  }

  #place(
    policy: SendPolicy,
    servers: readonly TrackedServer[],
  ): { readonly placement: Placement; readonly placeRequest: PlaceRequest } {
    const { placer } = this.#options;
    const nowMs = performance.now();
    const placeRequest = this.#buildPlaceRequest(policy, nowMs);
    const placement = placer.place(placeRequest, servers, nowMs);
    return { placement, placeRequest };
  }

  #buildPlaceRequest(
    { route, service, coldPerSecond, deadlineAtMs }: SendPolicy,
    nowMs: number,
  ): PlaceRequest {
    const { object, arrivedAtMs } = this.#request;
    return {
      service,
      route: route.name,
      object: route.sticky ? object : undefined,
      targetLatencyMs: route.targetLatencyMs,
      remainingMs: deadlineAtMs - nowMs - ANSWER_MARGIN_MS,
      ageMs: nowMs - arrivedAtMs,
      allowedRegions: route.allowedRegions,
      excluded: this.#sender.tried,
      coldPerSecond,
    };
  }

  /**
   * Sends to one server, and sends a backup (hedged) request to a second one if
   * the answer is far slower than expected, as it may be lost or the server
   * slow. Returns the first answer and cancels the other send.
   */
  async #sendWithBackup(decision: SendDecision): Promise<SendResult> {
    const first = this.#sender.start(decision);
    const { policy, isTrial } = decision;
    if (!policy.repeatable || isTrial) return first.result;
    const { expectedMs } = decision.placement;
    const isEarly = await Promise.race([
      first.result.then(() => true),
      this.#waitForOverdue(expectedMs).then(() => false),
    ]);
    first.progress.isOverdue = !isEarly;
    const backup = isEarly ? undefined : this.#startBackup();
    if (backup === undefined) return first.result;
    const result = await waitForFirstAnswer([first.result, backup.result]);
    first.progress.controller.abort();
    backup.progress.controller.abort();
    return result;
  }

  /** Resolves when an answer is overdue, after what has already arrived in the
   * sockets was read. */
  async #waitForOverdue(expectedMs: number): Promise<void> {
    await wait(computeBackupDelay(expectedMs));
    await this.#options.stalls.waitForPendingReads();
  }

  #startBackup(): PendingSend | undefined {
    const policy = this.#policyReader.read();
    const isOpen = policy !== undefined && policy.repeatable &&
      this.#policyReader.isConfirmed(policy) &&
      !this.#request.signal.aborted &&
      this.#sender.tried.size < policy.route.maxAttempts;
    if (!isOpen) return undefined;
    const gate = this.#gate.check(policy, performance.now());
    if (gate.type !== "open") return undefined;
    const { placement, placeRequest } = this.#place(policy, gate.servers);
    if (placement.type === "refuse" || !placement.hasSlot) return undefined;
    if (!this.#options.budgets.takeRetry(policy.service)) return undefined;
    const decision = {
      placement,
      placeRequest,
      policy,
      isRepeat: true,
      isTrial: false,
    };
    return this.#sender.start(decision);
  }

  /** Returns the outcome for a result; undefined if another send may follow. */
  #handleResult(result: SendResult): RequestOutcome | undefined {
    const { verdict } = SEND_RESULTS[result.type];
    const isFailure = result.type === "answered" &&
      (result.status >= 500 || promisesNotRun(result.status));
    if (isFailure && this.#policyReader.read()?.repeatable) {
      // Retry on another server; if none answers, this is the outcome.
      this.#mayHaveRun = true;
      this.#failure = this.#finish(result);
      return undefined;
    }
    if (verdict === "answer" || verdict === "stop") return this.#finish(result);
    if (verdict === "may-have-run") this.#mayHaveRun = true;
    return undefined;
  }

  #finish(result: SendResult): RequestOutcome {
    if (result.type === "answered") {
      const { status, headers, body } = result;
      // A server that did not run the request says so in a header, and its
      // result is `refused`.
      return promisesNotRun(status)
        ? { type: "unknown", reason: "unmarked-refusal" }
        : { type: "answered", status, headers, body };
    }
    if (this.#request.signal.aborted) return { type: "abandoned" };
    if (result.type === "not_authorized") return this.#settle("too-late", 0);
    return { type: "unknown", reason: "timed-out" };
  }

  /** Returns the outcome when no further server is tried. */
  #settle(reason: NotRunReason, retryAfterMs: number): RequestOutcome {
    this.#refusalReason = reason;
    if (this.#failure !== undefined) return this.#failure;
    return this.#mayHaveRun
      ? { type: "unknown", reason: "answer-lost" }
      : { type: "not-run", reason, retryAfterMs };
  }

  #end(outcome: RequestOutcome): ForwardResult {
    const { service } = this.#policyReader;
    const result: ForwardResult = {
      outcome,
      sends: this.#sender.sends,
      ...(service === undefined ? {} : { service }),
    };
    if (this.#refusalReason === undefined) return result;
    const refusal = { reason: this.#refusalReason, inputs: this.#refusal };
    return { ...result, refusal };
  }
}
