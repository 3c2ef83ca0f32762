/**
 * The quarantine state machine of one entry.
 *
 * @module
 */

import { applyEvent } from "@dotterelmoor/core.types";
import type { EventHandlers } from "@dotterelmoor/core.types";
import { Admissions } from "./admissions.ts";
import type { Admission } from "./admissions.ts";
import { ServerRuns } from "./server_runs.ts";
import { Standings } from "./standings.ts";
import type {
  Quarantine,
  QuarantineAction,
  QuarantineEntry,
  QuarantineEvent,
  QuarantineOptions,
  RunResult,
  Standing,
} from "./types.ts";

interface HandlerContext {
  readonly nowMs: number;
  readonly actions: QuarantineAction[];
}

/** Retry delay for callers that are refused because too many requests wait. */
const FULL_RETRY_MS = 1_000;

/** Interval at which expired losses, suspects and convictions are removed. */
const SWEEP_MS = 1_000;

/** Creates the quarantine of one entry. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  return new CrashQuarantine(options);
}

class CrashQuarantine implements Quarantine {
  readonly #maxWaiting: number;
  readonly #convictionMs: number;
  readonly #standings: Standings;
  readonly #admissions = new Admissions();
  readonly #servers = new ServerRuns();
  #sweepAtMs = -Infinity;

  readonly #handlers: EventHandlers<QuarantineEvent, void, HandlerContext> = {
    admit: ({ id, fingerprint }, context) =>
      this.#admit(id, fingerprint, context),
    start: ({ id, server }) => {
      const admission = this.#admissions.get(id);
      if (admission?.run === undefined) return;
      this.#admissions.setState(admission, "running");
      admission.server = server;
      this.#servers.start(admission.run, server);
    },
    finish: ({ id, result }, context) => {
      const admission = this.#admissions.get(id);
      if (admission?.state !== "running") return;
      this.#results[result](admission, context);
    },
    release: ({ id }, context) => {
      const admission = this.#admissions.get(id);
      if (admission === undefined) return;
      if (admission.state === "running") this.#abandon(admission, context);
      else this.#end(admission, context);
    },
    crash: ({ server }, context) => this.#applyCrash(server, context),
    suspected: ({ fingerprint }, context) => {
      const standing = this.#standings.classify(fingerprint, context.nowMs);
      if (standing !== "clear") return;
      this.#standings.markSuspect(fingerprint, context.nowMs);
      this.#update(fingerprint, context);
    },
    convicted: ({ fingerprint, remainingMs }, context) => {
      const { nowMs } = context;
      this.#standings.addConvicted(fingerprint, { remainingMs, nowMs });
      this.#update(fingerprint, context);
    },
    lift: ({ fingerprint }, context) => {
      if (this.#standings.lift(fingerprint, context.nowMs)) {
        context.actions.push({ type: "notify_lifted", fingerprint });
      }
      this.#update(fingerprint, context);
    },
    tick: () => {},
  };

  readonly #results: Readonly<
    Record<RunResult, (admission: Admission, context: HandlerContext) => void>
  > = {
    answered: (admission, context) => {
      const { run, server, fingerprint } = admission;
      const standing = this.#standings.classify(fingerprint, context.nowMs);
      if (this.#servers.answer(run!, server!, context.nowMs)) {
        this.#applyCrash(server!, context);
      }
      if (run!.trial ? standing === "suspect" : standing === "clear") {
        this.#standings.markKnownGood(fingerprint);
      }
      this.#end(admission, context);
    },
    timed_out: (admission, context) => this.#abandon(admission, context),
    refused: (admission, context) => this.#requeue(admission, context),
    connection_refused: (admission, context) => {
      const server = admission.server!;
      this.#requeue(admission, context);
      if (this.#servers.hasLosses(server)) this.#applyCrash(server, context);
    },
    connection_lost: (admission, context) => {
      const { run, server } = admission;
      const crashed = this.#servers.recordLost(run!, server!, context.nowMs);
      if (crashed) this.#applyCrash(server!, context);
      this.#end(admission, context);
    },
    incomplete_answer: (admission, context) => {
      const { run, server } = admission;
      this.#servers.cut(run!, server!, context.nowMs);
      this.#end(admission, context);
    },
  };

  constructor(options: QuarantineOptions) {
    const { maxWaiting = 1_000, convictionMs = 600_000 } = options;
    this.#maxWaiting = maxWaiting;
    this.#convictionMs = convictionMs;
    this.#standings = new Standings({
      convictionMs,
      suspicionMs: options.suspicionMs ?? 600_000,
      liftHoldMs: options.liftHoldMs ?? 30_000,
      maxFingerprints: options.maxFingerprints ?? 10_000,
    });
  }

  classify(fingerprint: string, nowMs: number): Standing {
    return this.#standings.classify(fingerprint, nowMs);
  }

  getSuspicionAgeMs(fingerprint: string, nowMs: number): number | undefined {
    return this.#standings.getSuspicionAgeMs(fingerprint, nowMs);
  }

  getRemainingMs(fingerprint: string, nowMs: number): number {
    return this.#standings.getRemainingMs(fingerprint, nowMs);
  }

  list(nowMs: number): QuarantineEntry[] {
    return this.#standings.list(nowMs);
  }

  nextWakeMs(): number | undefined {
    return this.#standings.isEmpty ? undefined : this.#sweepAtMs;
  }

  handle(event: QuarantineEvent, nowMs: number): QuarantineAction[] {
    const context: HandlerContext = { nowMs, actions: [] };
    this.#sweep(context);
    applyEvent(this.#handlers, event, context);
    return context.actions;
  }

  #sweep(context: HandlerContext): void {
    if (context.nowMs < this.#sweepAtMs) return;
    this.#sweepAtMs = context.nowMs + SWEEP_MS;
    this.#servers.expire(context.nowMs);
    for (const fingerprint of this.#standings.expire(context.nowMs)) {
      this.#update(fingerprint, context);
    }
  }

  #admit(id: string, fingerprint: string, context: HandlerContext): void {
    const admission = this.#admissions.add(id, fingerprint);
    this.#update(fingerprint, context);
    if (this.#admissions.waiting <= this.#maxWaiting) return;
    if (admission.state !== "waiting") return;
    this.#admissions.remove(admission);
    context.actions.push({ type: "refuse", id, retryAfterMs: FULL_RETRY_MS });
  }

  #end(admission: Admission, context: HandlerContext): void {
    this.#admissions.remove(admission);
    this.#update(admission.fingerprint, context);
  }

  #abandon(admission: Admission, context: HandlerContext): void {
    this.#servers.abandon(admission.run!, admission.server!, context.nowMs);
    this.#end(admission, context);
  }

  /** Returns a request that did not run to the dispatcher's queue. */
  #requeue(admission: Admission, context: HandlerContext): void {
    this.#servers.end(admission.run!, admission.server!);
    this.#admissions.setState(admission, "queued");
    admission.server = undefined;
    this.#update(admission.fingerprint, context);
  }

  #applyCrash(server: string, context: HandlerContext): void {
    const { running, maybeRunning } = this.#servers.takeInvolvedRuns(server);
    const causes = new Map(running.map((run) => [run.fingerprint, run]));
    const all = [...running, ...maybeRunning].map((run) => run.fingerprint);
    for (const fingerprint of new Set(all)) {
      // A harmless request may be in flight at two crashes by chance, so only a
      // run that was alone on the server is convicted.
      const cause = causes.size === 1 ? causes.get(fingerprint) : undefined;
      const hasCrashedBefore = this.#standings.getCrashes(fingerprint) > 0;
      this.#standings.markSuspect(fingerprint, context.nowMs);
      const shouldConvict = cause !== undefined &&
        (cause.trial || hasCrashedBefore);
      if (shouldConvict) this.#convict(fingerprint, context);
      else context.actions.push({ type: "notify_suspect", fingerprint });
      this.#update(fingerprint, context);
    }
  }

  #convict(fingerprint: string, context: HandlerContext): void {
    const remainingMs = this.#convictionMs;
    this.#standings.markConvicted(fingerprint, context.nowMs);
    context.actions.push({
      type: "notify_convicted",
      fingerprint,
      remainingMs,
    });
  }

  /** Recalls, refuses or runs the admissions of a fingerprint by its standing. */
  #update(fingerprint: string, context: HandlerContext): void {
    const standing = this.#standings.classify(fingerprint, context.nowMs);
    for (const admission of this.#admissions.listByFingerprint(fingerprint)) {
      if (standing !== "clear") this.#recall(admission, standing, context);
      if (standing === "convicted") this.#refuse(admission, context);
      else this.#run(admission, standing, context);
    }
  }

  #recall(
    admission: Admission,
    standing: Standing,
    context: HandlerContext,
  ): void {
    if (admission.state !== "queued") return;
    if (standing === "suspect" && admission.run!.trial) return;
    this.#admissions.setState(admission, "waiting");
    admission.run = undefined;
    context.actions.push({ type: "recall", id: admission.id });
  }

  #refuse(admission: Admission, context: HandlerContext): void {
    if (admission.state !== "waiting") return;
    const { id, fingerprint } = admission;
    const remainingMs = this.#standings.getRemainingMs(
      fingerprint,
      context.nowMs,
    );
    this.#admissions.remove(admission);
    const retryAfterMs = Math.ceil(remainingMs);
    context.actions.push({ type: "refuse", id, retryAfterMs });
  }

  /**
   * Queues a waiting request. Copies of a request that was never answered, and
   * trials, run one after another.
   */
  #run(
    admission: Admission,
    standing: Standing,
    context: HandlerContext,
  ): void {
    if (admission.state !== "waiting") return;
    const { id, fingerprint } = admission;
    const trial = standing === "suspect";
    const isKnownGood = !trial && this.#standings.isKnownGood(fingerprint);
    if (!isKnownGood && this.#admissions.isActive(fingerprint)) return;
    admission.run = { id, fingerprint, trial };
    this.#admissions.setState(admission, "queued");
    context.actions.push({ type: "run", id, trial });
  }
}
