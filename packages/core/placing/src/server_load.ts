/**
 * What this entry knows of the load and health of one backend server.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { SendEnd, SendOutcome, ServerLoadReport } from "./types.ts";

/** Time in milliseconds for which the load that other entries told counts in
 * full; they tell it every 200 ms. */
const OTHERS_FRESH_MS = 600;

/** Half-life in milliseconds after that: some run times. */
const OTHERS_HALF_LIFE_MS = 1_000;

/** Half-life in milliseconds of failures and slowness, so that a server that
 * recovers is tried again within some seconds. */
const TROUBLE_HALF_LIFE_MS = 4_000;

/** Weight of a new load report. */
const REPORT_WEIGHT = 0.4;

/** Weight of a new outcome in the share of failures. */
const FAILURE_WEIGHT = 0.15;

/** Weight of a new sample in the slowness of the server. */
const SLOWNESS_WEIGHT = 0.2;

/** First and longest pause in milliseconds after a failed connection. */
const FIRST_PAUSE_MS = 200;
const LONGEST_PAUSE_MS = 2_000;

/** Time in milliseconds for which a server that could not be reached may have
 * restarted without its record telling; it covers two heartbeats. */
const RESTART_MS = 3_500;

/** Longest time in milliseconds for which a server's word keeps requests away,
 * so that a faulty one is not lost for good. */
const LONGEST_BACK_OFF_MS = 3_600_000;

/** Requests beyond its slots that a server that shed is taken to hold. */
const SHED_WAITING = 4;

/** Time in milliseconds by which reports of one cold time may differ; a later
 * end means that the server became cold again. */
const COLD_SLACK_MS = 1_000;

/** Time in milliseconds of the rate that entries share at once when a server
 * becomes cold. */
const FIRST_COLD_MS = 1_000;

/** Time in milliseconds for which a server keeps an object warm. */
const WARM_MS = 1_500;

/** Objects remembered for each server. */
const MAX_OBJECTS = 512;

/** Load, health and warm objects of one server. */
export class ServerLoad {
  inFlight = 0;
  #others = 0;
  #othersAtMs = 0;
  /** When other entries last told what they have in flight here. */
  #toldAtMs = -Infinity;
  #failureShare = 0;
  #slowness = 1;
  #troubleAtMs = 0;
  #pauseMs = 0;
  #pausedUntilMs = -Infinity;
  #restartedUntilMs = -Infinity;
  #wantsNoneUntilMs = -Infinity;
  /** End of the cold time that the tokens are for. */
  #coldUntilMs = -Infinity;
  #coldTokens = 0;
  #coldTokensAtMs = 0;
  readonly #objects = new Map<string, number>();
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  /** Requests running or waiting at the server, this entry's included. */
  estimateLoad(nowMs: number): number {
    return this.inFlight + this.#decayedOthers(nowMs);
  }

  /** Takes over what all other entries have in flight here. */
  setOthers(count: number, nowMs: number): void {
    this.#others = count;
    this.#othersAtMs = nowMs;
    this.#toldAtMs = nowMs;
  }

  /** Share of recent sends that failed, 0 to 1. */
  failureShare(nowMs: number): number {
    return this.#failureShare * this.#troubleDecay(nowMs);
  }

  /** Run time at this server as a multiple of the usual one, at least 1. */
  slowness(nowMs: number): number {
    return 1 + Math.max(0, this.#slowness - 1) * this.#troubleDecay(nowMs);
  }

  isPaused(nowMs: number): boolean {
    return nowMs < this.#pausedUntilMs || this.wantsNone(nowMs);
  }

  /** True while the server has asked for no requests of this entry. */
  wantsNone(nowMs: number): boolean {
    return nowMs < this.#wantsNoneUntilMs;
  }

  /** Records that the server asked for none for a time in milliseconds. */
  recordBackOff(forMs: number, nowMs: number): void {
    const untilMs = nowMs + Math.min(forMs, LONGEST_BACK_OFF_MS);
    this.#wantsNoneUntilMs = Math.max(this.#wantsNoneUntilMs, untilMs);
  }

  /** True if the server may have restarted, and be cold, unnoticed. */
  mayHaveRestarted(nowMs: number): boolean {
    return nowMs < this.#restartedUntilMs;
  }

  isWarm(object: string, nowMs: number): boolean {
    const atMs = this.#objects.get(object);
    return atMs !== undefined && nowMs - atMs < WARM_MS;
  }

  /** True if this entry's part of the rate allows one send to a server that is
   * cold until a time. Each entry starts with a random part of a send: with a
   * whole one, all of them would send at once. */
  hasCold(
    { perSecond, untilMs }: {
      readonly perSecond: number;
      readonly untilMs: number;
    },
    nowMs: number,
  ): boolean {
    const coldUntilMs = Math.max(untilMs, this.#restartedUntilMs);
    const isAgain = coldUntilMs > this.#coldUntilMs + COLD_SLACK_MS;
    const kept = isAgain ? this.#random() : this.#coldTokens;
    const gainedMs = isAgain ? FIRST_COLD_MS : nowMs - this.#coldTokensAtMs;
    this.#coldUntilMs = coldUntilMs;
    this.#coldTokens = Math.min(1, kept + gainedMs / 1_000 * perSecond);
    this.#coldTokensAtMs = nowMs;
    return this.#coldTokens >= 1;
  }

  /** Takes one send to a cold server, which `hasCold` allowed. */
  takeCold(): void {
    this.#coldTokens -= 1;
  }

  recordSend(object: string | undefined, nowMs: number): void {
    this.inFlight += 1;
    if (object === undefined) return;
    this.#objects.delete(object);
    this.#objects.set(object, nowMs);
    if (this.#objects.size <= MAX_OBJECTS) return;
    const [oldest] = this.#objects.keys();
    this.#objects.delete(oldest!);
  }

  recordEnd(end: SendEnd, nowMs: number): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    if (end.load !== undefined) this.#recordReport(end.load, nowMs);
    this.#handlers[end.outcome](nowMs, end.load);
  }

  /** Adds the run time of a request as a multiple of the expected one. */
  recordSlowness(ratio: number, nowMs: number): void {
    this.#settleTrouble(nowMs);
    this.#slowness += SLOWNESS_WEIGHT *
      (Math.min(ratio, 10) - this.#slowness);
  }

  readonly #handlers: Readonly<
    Record<
      SendOutcome,
      (nowMs: number, load: ServerLoadReport | undefined) => void
    >
  > = {
    answered: (nowMs) => {
      this.#pauseMs = 0;
      this.#recordFailure(0, nowMs);
    },
    failed: (nowMs) => this.#recordFailure(1, nowMs),
    shed: (nowMs, load) => {
      this.#recordFailure(1, nowMs);
      if (load !== undefined) return;
      this.#others = this.#decayedOthers(nowMs) + SHED_WAITING;
      this.#othersAtMs = nowMs;
    },
    unreachable: (nowMs) => {
      const doubled = Math.min(2 * this.#pauseMs, LONGEST_PAUSE_MS);
      this.#pauseMs = Math.max(FIRST_PAUSE_MS, doubled);
      this.#pausedUntilMs = nowMs + this.#pauseMs;
      this.#restartedUntilMs = nowMs + RESTART_MS;
    },
    abandoned: () => {},
  };

  /** A server's own report lacks what is on its way to it, so it counts only
   * while other entries tell nothing. */
  #recordReport(load: ServerLoadReport, nowMs: number): void {
    if (nowMs - this.#toldAtMs < OTHERS_FRESH_MS) return;
    const total = load.running + load.waiting;
    const others = Math.max(0, total - this.inFlight);
    const known = this.#decayedOthers(nowMs);
    this.#others = known + REPORT_WEIGHT * (others - known);
    this.#othersAtMs = nowMs;
  }

  #recordFailure(sample: number, nowMs: number): void {
    this.#settleTrouble(nowMs);
    this.#failureShare += FAILURE_WEIGHT * (sample - this.#failureShare);
  }

  #settleTrouble(nowMs: number): void {
    this.#failureShare = this.failureShare(nowMs);
    this.#slowness = this.slowness(nowMs);
    this.#troubleAtMs = nowMs;
  }

  #troubleDecay(nowMs: number): number {
    return 0.5 ** ((nowMs - this.#troubleAtMs) / TROUBLE_HALF_LIFE_MS);
  }

  #decayedOthers(nowMs: number): number {
    const sinceMs = Math.max(
      this.#othersAtMs,
      this.#toldAtMs + OTHERS_FRESH_MS,
    );
    const ageMs = Math.max(0, nowMs - sinceMs);
    return this.#others * 0.5 ** (ageMs / OTHERS_HALF_LIFE_MS);
  }
}
