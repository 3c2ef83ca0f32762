/**
 * Simulated backend server of the policy benchmark.
 *
 * @module
 */

import type { VirtualClock } from "./virtual_clock.ts";

/** Result of a request at the server. */
export type RunResult = "answered" | "timed_out";

/** Work of a request. */
export interface Work {
  /** Time that the work takes on a warm server with a free slot. */
  readonly serviceMs: number;
  /** Time from the start after which the server stops the work. */
  readonly deadlineMs: number;
  readonly onEnd: (end: RunResult) => void;
}

/** Options of `ModelServer`. */
export interface ModelServerOptions {
  readonly id: string;
  readonly region: number;
  readonly zone: number;
  /** Number of requests that run at full speed at once. */
  readonly slots: number;
  /** Factor by which the first requests take longer; 1 for a warm server. */
  readonly coldFactor: number;
  readonly clock: VirtualClock;
}

/** Answers after which the extra time of a cold server has decayed to 1/e. */
const WARMUP_ANSWERS = 40;

interface Job {
  remainingMs: number;
  readonly untilMs: number;
  readonly work: Work;
}

/**
 * Server whose requests share its slots: with more requests than slots, all of
 * them slow down.
 */
export class ModelServer {
  readonly options: ModelServerOptions;
  readonly #jobs = new Set<Job>();
  #updatedMs = 0;
  #generation = 0;
  #answers = 0;
  /** Requests started. */
  started = 0;
  /** Requests started without a free slot. */
  startedOverSlots = 0;
  /** Most requests in flight. */
  peakInFlight = 0;
  /** Virtual time from which the server is reported as leaving. */
  leavingAtMs = Infinity;
  /** Virtual time at which the server last became idle. */
  idleAtMs = 0;

  constructor(options: ModelServerOptions) {
    this.options = options;
  }

  /** Requests in flight. */
  get activeCount(): number {
    return this.#jobs.size;
  }

  /** True until twice `WARMUP_ANSWERS` requests were answered. */
  get isCold(): boolean {
    return this.options.coldFactor > 1 && this.#answers < 2 * WARMUP_ANSWERS;
  }

  /** Starts a request, also without a free slot. */
  start(work: Work): void {
    const { clock, slots } = this.options;
    this.#advance();
    this.started += 1;
    if (this.activeCount >= slots) this.startedOverSlots += 1;
    const untilMs = clock.nowMs + work.deadlineMs;
    this.#jobs.add({ remainingMs: work.serviceMs, untilMs, work });
    this.peakInFlight = Math.max(this.peakInFlight, this.activeCount);
    this.#schedule();
  }

  #computeRate(): number {
    const { slots, coldFactor } = this.options;
    const extra = (coldFactor - 1) * Math.exp(-this.#answers / WARMUP_ANSWERS);
    return Math.min(1, slots / this.activeCount) / (1 + extra);
  }

  #advance(): void {
    const { nowMs } = this.options.clock;
    const doneMs = (nowMs - this.#updatedMs) * this.#computeRate();
    for (const job of this.#jobs) job.remainingMs -= doneMs;
    this.#updatedMs = nowMs;
  }

  #schedule(): void {
    const generation = ++this.#generation;
    if (this.activeCount === 0) return;
    const { clock } = this.options;
    const rate = this.#computeRate();
    let nextMs = Infinity;
    for (const { remainingMs, untilMs } of this.#jobs) {
      nextMs = Math.min(nextMs, clock.nowMs + remainingMs / rate, untilMs);
    }
    clock.runAt(Math.max(nextMs, clock.nowMs), () => {
      if (generation === this.#generation) this.#endDue();
    });
  }

  #endDue(): void {
    const { nowMs } = this.options.clock;
    this.#advance();
    const ended: [Job, RunResult][] = [];
    for (const job of this.#jobs) {
      if (job.remainingMs <= 1e-6) ended.push([job, "answered"]);
      else if (job.untilMs <= nowMs) ended.push([job, "timed_out"]);
    }
    for (const [job, end] of ended) {
      this.#jobs.delete(job);
      if (end === "answered") this.#answers += 1;
    }
    if (this.activeCount === 0) this.idleAtMs = nowMs;
    this.#schedule();
    for (const [job, end] of ended) job.work.onEnd(end);
  }
}
