/**
 * Holder of byte permits on one link.
 *
 * @module
 */

import {
  BUCKET_S,
  INITIAL_REQUEST_INTERVAL_MS,
  LIFETIME_MS,
  REQUEST_INTERVAL_MS,
} from "./limits.ts";
import type {
  PermitHolder,
  PermitHolderEvent,
  PermitHolderOptions,
  PermitRequest,
} from "./types.ts";

/** Time without a message after which a holder lets its permit lapse. */
const IDLE_TIMEOUT_MS = 1_000;

/** Factor by which the demand exceeds the rate that was sent. */
const DEMAND_FACTOR = 1.5;

interface Permit {
  readonly requestId: number;
  readonly rate: number;
  readonly untilMs: number;
}

/** Creates the holder of one process on one link. */
export function createPermitHolder(options: PermitHolderOptions): PermitHolder {
  return new Holder(options);
}

class Holder implements PermitHolder {
  readonly #budget: number;
  /** Send times of unanswered requests by request id. */
  readonly #requests = new Map<number, number>();
  #permit: Permit | undefined;
  #tokens = 0;
  #accruedMs = 0;
  #lastRequestId = 0;
  #lastRequestMs = -Infinity;
  #lastUseMs = -Infinity;
  #sentBytes = 0;
  #wasRefused = false;

  constructor(options: PermitHolderOptions) {
    this.#budget = options.budgetBytesPerSecond;
  }

  handle(event: PermitHolderEvent, nowMs: number): PermitRequest[] {
    if (event.type === "tick") return this.#request(nowMs);
    this.#handleGrant(event, nowMs);
    return [];
  }

  take(bytes: number, nowMs: number): boolean {
    this.#lastUseMs = nowMs;
    if (this.waitMs(bytes, nowMs) > 0) {
      this.#wasRefused = true;
      return false;
    }
    this.#spend(bytes);
    return true;
  }

  takeUpTo(bytes: number, nowMs: number): number {
    const depth = this.#updateBucket(nowMs);
    // Waiting for at least half a bucket avoids tiny slices.
    const minBytes = Math.min(bytes, Math.floor(depth / 2));
    const available = Math.min(bytes, Math.floor(this.#tokens));
    this.#lastUseMs = nowMs;
    this.#wasRefused ||= available < bytes;
    if (depth === 0 || available < minBytes || available <= 0) return 0;
    this.#spend(available);
    return available;
  }

  maxTake(nowMs: number): number {
    return Math.floor(this.#updateBucket(nowMs));
  }

  waitMs(bytes: number, nowMs: number): number {
    const depth = this.#updateBucket(nowMs);
    if (depth === 0) return Infinity;
    const missing = Math.min(bytes, depth) - this.#tokens;
    // Tolerates rounding errors of far less than a byte.
    return missing < 1e-6 ? 0 : missing / this.#permit!.rate * 1_000;
  }

  #spend(bytes: number): void {
    this.#tokens -= bytes;
    this.#sentBytes += bytes;
  }

  /**
   * Adds the tokens accrued until now and returns the depth of the bucket in
   * bytes, 0 without a valid permit.
   */
  #updateBucket(nowMs: number): number {
    const permit = this.#permit;
    if (permit === undefined) return 0;
    const depth = permit.rate * BUCKET_S;
    const untilMs = Math.min(nowMs, permit.untilMs);
    const elapsedMs = Math.max(0, untilMs - this.#accruedMs);
    this.#accruedMs = Math.max(untilMs, this.#accruedMs);
    this.#tokens = Math.min(
      depth,
      this.#tokens + elapsedMs * permit.rate / 1e3,
    );
    if (nowMs < permit.untilMs) return depth;
    // Tokens expire with their permit; a debt stays.
    this.#permit = undefined;
    this.#tokens = Math.min(0, this.#tokens);
    return 0;
  }

  #request(nowMs: number): PermitRequest[] {
    const isIdle = nowMs - this.#lastUseMs >= IDLE_TIMEOUT_MS;
    const hasPermit = this.#updateBucket(nowMs) > 0;
    const intervalMs = hasPermit
      ? REQUEST_INTERVAL_MS
      : INITIAL_REQUEST_INTERVAL_MS;
    const elapsedMs = nowMs - this.#lastRequestMs;
    if (isIdle || elapsedMs < intervalMs) return [];
    const requestId = ++this.#lastRequestId;
    for (const [id, sentAtMs] of this.#requests) {
      if (nowMs - sentAtMs >= LIFETIME_MS) this.#requests.delete(id);
    }
    this.#requests.set(requestId, nowMs);
    const demand = this.#computeDemand(elapsedMs);
    this.#lastRequestMs = nowMs;
    this.#sentBytes = 0;
    this.#wasRefused = false;
    return [{ type: "request", requestId, demand }];
  }

  /**
   * Computes the demand in bytes per second. A holder that had to wait requests
   * the whole budget, as its actual demand is unknown.
   */
  #computeDemand(elapsedMs: number): number {
    if (this.#wasRefused) return this.#budget;
    const sent = this.#sentBytes * 1_000 / elapsedMs * DEMAND_FACTOR;
    return Math.min(this.#budget, sent);
  }

  #handleGrant(
    event: Extract<PermitHolderEvent, { type: "granted" }>,
    nowMs: number,
  ): void {
    const sentAtMs = this.#requests.get(event.requestId);
    if (sentAtMs === undefined || event.rate <= 0) return;
    this.#requests.delete(event.requestId);
    const untilMs = sentAtMs + LIFETIME_MS;
    const isLate = untilMs <= nowMs ||
      event.requestId < (this.#permit?.requestId ?? 0);
    if (isLate) return;
    // Accrues the tokens of the previous permit before the new rate applies.
    this.#updateBucket(nowMs);
    this.#accruedMs = nowMs;
    this.#tokens = Math.min(this.#tokens, event.rate * BUCKET_S);
    this.#permit = { requestId: event.requestId, rate: event.rate, untilMs };
  }
}
