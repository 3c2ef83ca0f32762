/**
 * The quarantine of one entry.
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

interface Turn {
  readonly nowMs: number;
  readonly actions: QuarantineAction[];
}

/** Time after which a caller may return when too many wait for a trial. */
const FULL_RETRY_MS = 1_000;

/** Interval at which old losses, suspicions and convictions are removed. */
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

  readonly #handlers: EventHandlers<QuarantineEvent, void, Turn> = {
    admit: ({ id, fingerprint }, turn) => this.#admit(id, fingerprint, turn),
    start: ({ id, server }) => {
      const admission = this.#admissions.get(id);
      if (admission?.run === undefined) return;
      this.#admissions.setState(admission, "running");
      admission.server = server;
      this.#servers.start(admission.run, server);
    },
    finish: ({ id, result }, turn) => {
      const admission = this.#admissions.get(id);
      if (admission?.state !== "running") return;
      this.#results[result](admission, turn);
    },
    release: ({ id }, turn) => {
      const admission = this.#admissions.get(id);
      if (admission === undefined) return;
      if (admission.state === "running") this.#giveUp(admission, turn);
      else this.#end(admission, turn);
    },
    crash: ({ server }, turn) => this.#applyCrash(server, turn),
    suspected: ({ fingerprint }, turn) => {
      const standing = this.#standings.classify(fingerprint, turn.nowMs);
      if (standing !== "clear") return;
      this.#standings.markSuspect(fingerprint, turn.nowMs);
      this.#update(fingerprint, turn);
    },
    convicted: ({ fingerprint, remainingMs }, turn) => {
      const { nowMs } = turn;
      this.#standings.addConvicted(fingerprint, { remainingMs, nowMs });
      this.#update(fingerprint, turn);
    },
    lift: ({ fingerprint }, turn) => {
      if (this.#standings.lift(fingerprint, turn.nowMs)) {
        turn.actions.push({ type: "notify_lifted", fingerprint });
      }
      this.#update(fingerprint, turn);
    },
    tick: () => {},
  };

  readonly #results: Readonly<
    Record<RunResult, (admission: Admission, turn: Turn) => void>
  > = {
    answered: (admission, turn) => {
      const { run, server, fingerprint } = admission;
      const standing = this.#standings.classify(fingerprint, turn.nowMs);
      if (this.#servers.answer(run!, server!, turn.nowMs)) {
        this.#applyCrash(server!, turn);
      }
      if (run!.trial ? standing === "suspect" : standing === "clear") {
        this.#standings.markProven(fingerprint);
      }
      this.#end(admission, turn);
    },
    timed_out: (admission, turn) => this.#giveUp(admission, turn),
    refused: (admission, turn) => this.#queueAgain(admission, turn),
    connection_refused: (admission, turn) => {
      const server = admission.server!;
      this.#queueAgain(admission, turn);
      if (this.#servers.hasLost(server)) this.#applyCrash(server, turn);
    },
    connection_lost: (admission, turn) => {
      const { run, server } = admission;
      const crashed = this.#servers.lose(run!, server!, turn.nowMs);
      if (crashed) this.#applyCrash(server!, turn);
      this.#end(admission, turn);
    },
    incomplete_answer: (admission, turn) => {
      const { run, server } = admission;
      this.#servers.cut(run!, server!, turn.nowMs);
      this.#end(admission, turn);
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

  list(nowMs: number): QuarantineEntry[] {
    return this.#standings.list(nowMs);
  }

  nextWakeMs(): number | undefined {
    return this.#standings.isEmpty ? undefined : this.#sweepAtMs;
  }

  handle(event: QuarantineEvent, nowMs: number): QuarantineAction[] {
    const turn: Turn = { nowMs, actions: [] };
    this.#sweep(turn);
    applyEvent(this.#handlers, event, turn);
    return turn.actions;
  }

  #sweep(turn: Turn): void {
    if (turn.nowMs < this.#sweepAtMs) return;
    this.#sweepAtMs = turn.nowMs + SWEEP_MS;
    this.#servers.expire(turn.nowMs);
    for (const fingerprint of this.#standings.expire(turn.nowMs)) {
      this.#update(fingerprint, turn);
    }
  }

  #admit(id: string, fingerprint: string, turn: Turn): void {
    const admission = this.#admissions.add(id, fingerprint);
    this.#update(fingerprint, turn);
    if (this.#admissions.waiting <= this.#maxWaiting) return;
    if (admission.state !== "waiting") return;
    this.#admissions.remove(admission);
    turn.actions.push({ type: "refuse", id, retryAfterMs: FULL_RETRY_MS });
  }

  #end(admission: Admission, turn: Turn): void {
    this.#admissions.remove(admission);
    this.#update(admission.fingerprint, turn);
  }

  #giveUp(admission: Admission, turn: Turn): void {
    this.#servers.giveUp(admission.run!, admission.server!, turn.nowMs);
    this.#end(admission, turn);
  }

  /** The request did not run; the dispatcher sends it to another server. */
  #queueAgain(admission: Admission, turn: Turn): void {
    this.#servers.end(admission.run!, admission.server!);
    this.#admissions.setState(admission, "queued");
    admission.server = undefined;
    this.#update(admission.fingerprint, turn);
  }

  #applyCrash(server: string, turn: Turn): void {
    const { running, lingering } = this.#servers.takeInvolved(server);
    const causes = new Map(running.map((run) => [run.fingerprint, run]));
    const all = [...running, ...lingering].map((run) => run.fingerprint);
    for (const fingerprint of new Set(all)) {
      // Others may share two crashes by chance, so only a run alone convicts.
      const cause = causes.size === 1 ? causes.get(fingerprint) : undefined;
      const isAgain = this.#standings.getCrashes(fingerprint) > 0;
      this.#standings.markSuspect(fingerprint, turn.nowMs);
      const isGuilty = cause !== undefined && (cause.trial || isAgain);
      if (isGuilty) this.#convict(fingerprint, turn);
      else turn.actions.push({ type: "notify_suspect", fingerprint });
      this.#update(fingerprint, turn);
    }
  }

  #convict(fingerprint: string, turn: Turn): void {
    const remainingMs = this.#convictionMs;
    this.#standings.markConvicted(fingerprint, turn.nowMs);
    turn.actions.push({ type: "notify_convicted", fingerprint, remainingMs });
  }

  /** Brings the admissions of a fingerprint in line with its standing. */
  #update(fingerprint: string, turn: Turn): void {
    const standing = this.#standings.classify(fingerprint, turn.nowMs);
    for (const admission of this.#admissions.listOf(fingerprint)) {
      if (standing !== "clear") this.#recall(admission, standing, turn);
      if (standing === "convicted") this.#refuse(admission, turn);
      else this.#run(admission, standing, turn);
    }
  }

  #recall(admission: Admission, standing: Standing, turn: Turn): void {
    if (admission.state !== "queued") return;
    if (standing === "suspect" && admission.run!.trial) return;
    this.#admissions.setState(admission, "waiting");
    admission.run = undefined;
    turn.actions.push({ type: "recall", id: admission.id });
  }

  #refuse(admission: Admission, turn: Turn): void {
    if (admission.state !== "waiting") return;
    const { id, fingerprint } = admission;
    const remainingMs = this.#standings.getRemainingMs(
      fingerprint,
      turn.nowMs,
    );
    this.#admissions.remove(admission);
    const retryAfterMs = Math.ceil(remainingMs);
    turn.actions.push({ type: "refuse", id, retryAfterMs });
  }

  /** Copies of a request that was never answered run one after another. */
  #run(admission: Admission, standing: Standing, turn: Turn): void {
    if (admission.state !== "waiting") return;
    const { id, fingerprint } = admission;
    const trial = standing === "suspect";
    const isProven = !trial && this.#standings.isProven(fingerprint);
    if (!isProven && this.#admissions.isActive(fingerprint)) return;
    admission.run = { id, fingerprint, trial };
    this.#admissions.setState(admission, "queued");
    turn.actions.push({ type: "run", id, trial });
  }
}
