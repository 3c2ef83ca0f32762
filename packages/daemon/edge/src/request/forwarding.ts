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
import type { NotRunReason, RequestOutcome } from "./outcomes.ts";
import { QuarantineGate } from "./quarantine_gate.ts";
import {
  computeBackupDelay,
  SEND_RESULTS,
  takeFirstAnswer,
} from "./send_results.ts";
import type { SendResult } from "./send_results.ts";
import { TermsReader } from "./send_terms.ts";
import type { SendTerms, TermsReaderOptions } from "./send_terms.ts";
import { ANSWER_MARGIN_MS, RequestSender } from "./sending.ts";
import type {
  OpenSend,
  RequestSenderOptions,
  SendDecision,
} from "./sending.ts";

/** Time in milliseconds after which callers may retry a request that was not
 * run, as when servers refused it. */
const REFUSED_RETRY_MS = 250;

/** Options of `createForwarder`. */
export interface ForwarderOptions
  extends TermsReaderOptions, Omit<RequestSenderOptions, "gate" | "terms"> {
  readonly budgets: RetryBudgets;
}

/** Forwards requests to backend servers. */
export interface Forwarder {
  forward(request: ForwardRequest): Promise<ForwardResult>;
}

/** Creates the forwarder of one edge instance. */
export function createForwarder(options: ForwarderOptions): Forwarder {
  return {
    forward: (request) => new Run(request, options).run(),
  };
}

/** The next step for a request. */
type Step =
  | { readonly type: "send"; readonly decision: SendDecision }
  /** Claims the trial of a quarantined request before it is sent. */
  | { readonly type: "claim"; readonly server: TrackedServer }
  | { readonly type: "end"; readonly outcome: RequestOutcome };

class Run {
  readonly #request: ForwardRequest;
  readonly #options: ForwarderOptions;
  readonly #terms: TermsReader;
  readonly #gate: QuarantineGate;
  readonly #sender: RequestSender;
  #isCounted = false;
  /** True once a server may have run the request. */
  #mayHaveRun = false;
  /** Inputs of the decision not to send the request, or not to retry it. */
  #refusal: RefusalInputs | QuarantineInputs | undefined;
  #refusalReason: string | undefined;
  /** Answer with a 5xx status; returned if no other server answers. */
  #failure: RequestOutcome | undefined;

  constructor(request: ForwardRequest, options: ForwarderOptions) {
    this.#request = request;
    this.#options = options;
    this.#terms = new TermsReader(request, options);
    this.#gate = new QuarantineGate(request.fingerprint, options);
    const parts = { terms: this.#terms, gate: this.#gate };
    this.#sender = new RequestSender(request, { ...options, ...parts });
  }

  async run(): Promise<ForwardResult> {
    this.#options.placer.recordArrival();
    const { stalls } = this.#options;
    while (true) {
      // A disconnect of the caller is only read from the socket after its
      // request.
      await stalls.settle();
      const step = this.#decide();
      if (step.type === "end") return this.#end(step.outcome);
      if (step.type === "claim") {
        await this.#gate.claim(step.server);
        continue;
      }
      const result = await this.#sendWithBackup(step.decision);
      const outcome = this.#takeResult(result);
      if (outcome !== undefined) return this.#end(outcome);
    }
  }

  /** Decides the next step by the latest known configuration. */
  #decide(): Step {
    const { budgets } = this.#options;
    if (this.#request.signal.aborted) {
      return { type: "end", outcome: { type: "abandoned" } };
    }
    const terms = this.#terms.read();
    if (terms === undefined) return this.#stop("route-removed");
    const { service, route, repeatable } = terms;
    if (!this.#terms.isConfirmed(terms)) {
      return this.#stop("configuration-unconfirmed");
    }
    if (!this.#isCounted) budgets.recordRequest(service);
    this.#isCounted = true;
    const { tried } = this.#sender;
    const isSpent = tried.size >= route.maxAttempts ||
      (this.#mayHaveRun && !repeatable);
    if (isSpent) return this.#stop("servers-refused");
    const gate = this.#gate.check(terms, performance.now());
    if (gate.type === "claim") return gate;
    if (gate.type === "refuse") return this.#refuse(gate);
    const { placement, placeRequest } = this.#place(terms, gate.servers);
    if (placement.type === "refuse") return this.#refuse(placement);
    if (this.#sender.hasSent && !budgets.takeRetry(service)) {
      return this.#stop("retry-budget");
    }
    const isRepeat = this.#mayHaveRun;
    const { isTrial } = gate;
    const decision = { placement, placeRequest, terms, isRepeat, isTrial };
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
    terms: SendTerms,
    servers: readonly TrackedServer[],
  ): { readonly placement: Placement; readonly placeRequest: PlaceRequest } {
    const { placer } = this.#options;
    const nowMs = performance.now();
    const placeRequest = this.#buildPlaceRequest(terms, nowMs);
    const placement = placer.place(placeRequest, servers, nowMs);
    return { placement, placeRequest };
  }

  #buildPlaceRequest(
    { route, service, coldPerSecond, deadlineAtMs }: SendTerms,
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
    const { terms, isTrial } = decision;
    if (!terms.repeatable || isTrial) return first.result;
    const { expectedMs } = decision.placement;
    const isEarly = await Promise.race([
      first.result.then(() => true),
      this.#waitForOverdue(expectedMs).then(() => false),
    ]);
    first.progress.isOverdue = !isEarly;
    const backup = isEarly ? undefined : this.#startBackup();
    if (backup === undefined) return first.result;
    const result = await takeFirstAnswer([first.result, backup.result]);
    first.progress.controller.abort();
    backup.progress.controller.abort();
    return result;
  }

  /** Resolves when an answer is overdue, after what has already arrived in the
   * sockets was read. */
  async #waitForOverdue(expectedMs: number): Promise<void> {
    await wait(computeBackupDelay(expectedMs));
    await this.#options.stalls.settle();
  }

  #startBackup(): OpenSend | undefined {
    const terms = this.#terms.read();
    const isOpen = terms !== undefined && terms.repeatable &&
      this.#terms.isConfirmed(terms) &&
      !this.#request.signal.aborted &&
      this.#sender.tried.size < terms.route.maxAttempts;
    if (!isOpen) return undefined;
    const gate = this.#gate.check(terms, performance.now());
    if (gate.type !== "open") return undefined;
    const { placement, placeRequest } = this.#place(terms, gate.servers);
    if (placement.type === "refuse" || !placement.hasSlot) return undefined;
    if (!this.#options.budgets.takeRetry(terms.service)) return undefined;
    const decision = {
      placement,
      placeRequest,
      terms,
      isRepeat: true,
      isTrial: false,
    };
    return this.#sender.start(decision);
  }

  /** Returns the outcome for a result; undefined if another send may follow. */
  #takeResult(result: SendResult): RequestOutcome | undefined {
    const { verdict } = SEND_RESULTS[result.type];
    const isFailure = result.type === "answered" && result.status >= 500;
    if (isFailure && this.#terms.read()?.repeatable) {
      // Retry on another server; if none answers, this 5xx is the answer.
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
      return { type: "answered", status, headers, body };
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
    const { service } = this.#terms;
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
