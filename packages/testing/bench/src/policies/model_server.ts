/**
 * Backend server of a benchmark.
 *
 * @module
 */

import type { VirtualClock } from "./virtual_clock.ts";

/** How a run ended at the server. */
export type RunEnd = "answered" | "timed_out";

/** Work that a server is asked to do. */
export interface Work {
  /** Time that the work takes alone on a warm server. */
  readonly serviceMs: number;
  readonly deadlineMs: number;
  readonly onEnd: (end: RunEnd) => void;
}

/** Settings of a server. */
export interface ModelServerOptions {
  readonly id: string;
  readonly region: number;
  readonly zone: number;
  readonly slots: number;
  /** How many times slower it is when cold; 1 for a warm one. */
  readonly coldFactor: number;
  readonly clock: VirtualClock;
}

/** Answers after which a cold server's extra time has shrunk to 1/e. */
const WARM_ANSWERS = 40;

interface Job {
  remainingMs: number;
  readonly untilMs: number;
  readonly work: Work;
}

/** Shares its slots among all requests, so it slows down beyond them. */
export class ModelServer {
  readonly options: ModelServerOptions;
  readonly #jobs = new Set<Job>();
  #updatedMs = 0;
  #generation = 0;
  #answers = 0;
  /** Requests started, those started without a free slot, and the most. */
  started = 0;
  startedOver = 0;
  peak = 0;
  leavingAtMs = Infinity;
  idleAtMs = 0;

  constructor(options: ModelServerOptions) {
    this.options = options;
  }

  get active(): number {
    return this.#jobs.size;
  }

  get isCold(): boolean {
    return this.options.coldFactor > 1 && this.#answers < 2 * WARM_ANSWERS;
  }

  start(work: Work): void {
    const { clock, slots } = this.options;
    this.#advance();
    this.started += 1;
    if (this.active >= slots) this.startedOver += 1;
    const untilMs = clock.nowMs + work.deadlineMs;
    this.#jobs.add({ remainingMs: work.serviceMs, untilMs, work });
    this.peak = Math.max(this.peak, this.active);
    this.#schedule();
  }

  #computeRate(): number {
    const { slots, coldFactor } = this.options;
    const extra = (coldFactor - 1) * Math.exp(-this.#answers / WARM_ANSWERS);
    return Math.min(1, slots / this.active) / (1 + extra);
  }

  #advance(): void {
    const { nowMs } = this.options.clock;
    const doneMs = (nowMs - this.#updatedMs) * this.#computeRate();
    for (const job of this.#jobs) job.remainingMs -= doneMs;
    this.#updatedMs = nowMs;
  }

  #schedule(): void {
    const generation = ++this.#generation;
    if (this.active === 0) return;
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
    const ended: [Job, RunEnd][] = [];
    for (const job of this.#jobs) {
      if (job.remainingMs <= 1e-6) ended.push([job, "answered"]);
      else if (job.untilMs <= nowMs) ended.push([job, "timed_out"]);
    }
    for (const [job, end] of ended) {
      this.#jobs.delete(job);
      if (end === "answered") this.#answers += 1;
    }
    if (this.active === 0) this.idleAtMs = nowMs;
    this.#schedule();
    for (const [job, end] of ended) job.work.onEnd(end);
  }
}
