/**
 * Load and health of one backend server as estimated by this entry.
 *
 * @module
 */

import type { Random } from "@dotterelmoor/core.types";
import type { SendEnd, SendOutcome, ServerLoadReport } from "./types.ts";

/** Time in milliseconds for which the load shared by other entries counts in
 * full; they share it every 50 to 200 ms. */
const OTHER_LOAD_FRESH_MS = 600;

/** Half-life in milliseconds of that load afterwards; a few run times. */
const OTHER_LOAD_HALF_LIFE_MS = 1_000;

/** Half-life in milliseconds of failures and slowness; lets a server that
 * recovered get requests again within a few seconds. */
const HEALTH_HALF_LIFE_MS = 4_000;

/** Weight of a server's new load report in the estimate. */
const REPORT_WEIGHT = 0.4;

/** Weight of a new outcome in the failure share. */
const FAILURE_WEIGHT = 0.15;

/** Weight of a new sample in the slowness. */
const SLOWNESS_WEIGHT = 0.2;

/** Bounds in milliseconds of the pause after a failed connection. */
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 2_000;

/** Time in milliseconds after a failed connection during which the server may
 * have restarted although its record does not show it yet; covers two
 * heartbeats. */
const POSSIBLE_RESTART_MS = 3_500;

/** Longest back-off in milliseconds that a server can request; keeps a faulty
 * server from being excluded forever. */
const MAX_BACK_OFF_MS = 3_600_000;

/** Requests added to the estimated load of a server that shed a request without
 * a load report. */
const SHED_EXCESS_LOAD = 4;

/** Tolerance in milliseconds between reported ends of one cold period; a later
 * end starts a new cold period. */
const COLD_END_TOLERANCE_MS = 1_000;

/** Time in milliseconds whose worth of the rate limit is granted at once when a
 * server becomes cold. */
const COLD_BURST_MS = 1_000;

/** Time in milliseconds for which a server is assumed to keep an object
 * warm. */
const WARM_MS = 1_500;

/** Maximum number of objects tracked for each server. */
const MAX_WARM_OBJECTS = 512;

/** Load, health and warm objects of one server. */
export class ServerLoad {
  inFlight = 0;
  #otherLoad = 0;
  #otherLoadAtMs = 0;
  /** Time at which other entries last shared their load at this server. */
  #sharedAtMs = -Infinity;
  #failureShare = 0;
  #slowness = 1;
  #healthAtMs = 0;
  #pauseMs = 0;
  #pausedUntilMs = -Infinity;
  #restartedUntilMs = -Infinity;
  #backOffUntilMs = -Infinity;
  /** End of the cold period that the tokens apply to. */
  #coldUntilMs = -Infinity;
  #coldTokens = 0;
  #coldTokensAtMs = 0;
  readonly #warmObjects = new Map<string, number>();
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  /** Estimates the requests running or waiting at the server, including those
   * of this entry. */
  estimateLoad(nowMs: number): number {
    return this.inFlight + this.#computeOtherLoad(nowMs);
  }

  /** Replaces the number of requests in flight here from all other entries. */
  setOtherLoad(count: number, nowMs: number): void {
    this.#otherLoad = count;
    this.#otherLoadAtMs = nowMs;
    this.#sharedAtMs = nowMs;
  }

  /** Returns the share of recent sends that failed, 0 to 1. */
  getFailureShare(nowMs: number): number {
    return this.#failureShare * this.#computeHealthDecay(nowMs);
  }

  /** Returns the run time at this server as a multiple of the expected one, at
   * least 1. */
  getSlowness(nowMs: number): number {
    return 1 +
      Math.max(0, this.#slowness - 1) * this.#computeHealthDecay(nowMs);
  }

  isPaused(nowMs: number): boolean {
    return nowMs < this.#pausedUntilMs || this.isBackingOff(nowMs);
  }

  /** True while the server has asked for no requests. */
  isBackingOff(nowMs: number): boolean {
    return nowMs < this.#backOffUntilMs;
  }

  /** Records that the server asked for no requests for a time in
   * milliseconds. */
  recordBackOff(forMs: number, nowMs: number): void {
    const untilMs = nowMs + Math.min(forMs, MAX_BACK_OFF_MS);
    this.#backOffUntilMs = Math.max(this.#backOffUntilMs, untilMs);
  }

  /** True if the server may have restarted unnoticed, and so be cold. */
  mayHaveRestarted(nowMs: number): boolean {
    return nowMs < this.#restartedUntilMs;
  }

  isWarm(object: string, nowMs: number): boolean {
    const atMs = this.#warmObjects.get(object);
    return atMs !== undefined && nowMs - atMs < WARM_MS;
  }

  /** True if this entry's share of the rate limit allows one send to a server
   * that is cold until `untilMs`. Each entry starts with a random fraction of a
   * token: with a whole one, all entries would send at once. */
  hasColdToken(
    { perSecond, untilMs }: {
      readonly perSecond: number;
      readonly untilMs: number;
    },
    nowMs: number,
  ): boolean {
    const coldUntilMs = Math.max(untilMs, this.#restartedUntilMs);
    const isNewColdPeriod =
      coldUntilMs > this.#coldUntilMs + COLD_END_TOLERANCE_MS;
    const tokens = isNewColdPeriod ? this.#random() : this.#coldTokens;
    const gainedMs = isNewColdPeriod
      ? COLD_BURST_MS
      : nowMs - this.#coldTokensAtMs;
    this.#coldUntilMs = coldUntilMs;
    this.#coldTokens = Math.min(1, tokens + gainedMs / 1_000 * perSecond);
    this.#coldTokensAtMs = nowMs;
    return this.#coldTokens >= 1;
  }

  /** Takes the token of a send that `hasColdToken` allowed. */
  takeColdToken(): void {
    this.#coldTokens -= 1;
  }

  recordSend(object: string | undefined, nowMs: number): void {
    this.inFlight += 1;
    if (object === undefined) return;
    this.#warmObjects.delete(object);
    this.#warmObjects.set(object, nowMs);
    if (this.#warmObjects.size <= MAX_WARM_OBJECTS) return;
    const [oldest] = this.#warmObjects.keys();
    this.#warmObjects.delete(oldest!);
  }

  recordEnd(end: SendEnd, nowMs: number): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    if (end.load !== undefined) this.#recordReport(end.load, nowMs);
    this.#handlers[end.outcome](nowMs, end.load);
  }

  /** Adds a sample of the slowness: a run time as a multiple of the expected
   * one. */
  recordSlowness(ratio: number, nowMs: number): void {
    this.#settleHealth(nowMs);
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
      this.#otherLoad = this.#computeOtherLoad(nowMs) + SHED_EXCESS_LOAD;
      this.#otherLoadAtMs = nowMs;
    },
    unreachable: (nowMs) => {
      const doubled = Math.min(2 * this.#pauseMs, MAX_PAUSE_MS);
      this.#pauseMs = Math.max(MIN_PAUSE_MS, doubled);
      this.#pausedUntilMs = nowMs + this.#pauseMs;
      this.#restartedUntilMs = nowMs + POSSIBLE_RESTART_MS;
    },
    abandoned: () => {},
  };

  /** Blends in the server's own report. It lacks requests that are on their way
   * to the server, so it is used only without recent loads of other entries. */
  #recordReport(load: ServerLoadReport, nowMs: number): void {
    if (nowMs - this.#sharedAtMs < OTHER_LOAD_FRESH_MS) return;
    const total = load.running + load.waiting;
    const reported = Math.max(0, total - this.inFlight);
    const current = this.#computeOtherLoad(nowMs);
    this.#otherLoad = current + REPORT_WEIGHT * (reported - current);
    this.#otherLoadAtMs = nowMs;
  }

  #recordFailure(sample: number, nowMs: number): void {
    this.#settleHealth(nowMs);
    this.#failureShare += FAILURE_WEIGHT * (sample - this.#failureShare);
  }

  #settleHealth(nowMs: number): void {
    this.#failureShare = this.getFailureShare(nowMs);
    this.#slowness = this.getSlowness(nowMs);
    this.#healthAtMs = nowMs;
  }

  #computeHealthDecay(nowMs: number): number {
    return 0.5 ** ((nowMs - this.#healthAtMs) / HEALTH_HALF_LIFE_MS);
  }

  #computeOtherLoad(nowMs: number): number {
    const sinceMs = Math.max(
      this.#otherLoadAtMs,
      this.#sharedAtMs + OTHER_LOAD_FRESH_MS,
    );
    const ageMs = Math.max(0, nowMs - sinceMs);
    return this.#otherLoad * 0.5 ** (ageMs / OTHER_LOAD_HALF_LIFE_MS);
  }
}
