/**
 * Holder of byte permits on one link.
 *
 * @module
 */

import { BUCKET_MS, MIN_DEMAND_SHARE, PERMIT_LIFETIME_MS } from "./limits.ts";
import type {
  PermitHolder,
  PermitHolderEvent,
  PermitHolderOptions,
  PermitRequest,
} from "./types.ts";

/** Interval between requests while there is demand. */
const REQUEST_INTERVAL_MS = 400;
/** Time after the last use until the holder stops asking. */
const IDLE_MS = 2_000;
/** Demand above the measured use, so that a rising use is not held back. */
const DEMAND_FACTOR = 1.5;
const MS_PER_SECOND = 1_000;

/** Creates the holder of one process on one link. */
export function createPermitHolder(options: PermitHolderOptions): PermitHolder {
  return new Holder(options.budgetBytesPerSecond);
}

class Holder implements PermitHolder {
  readonly #budget: number;
  readonly #sentAtMs = new Map<number, number>();
  #rate = 0;
  #validUntilMs = -Infinity;
  #appliedId = 0;
  #nextId = 1;
  #tokens = 0;
  #filledAtMs = 0;
  #wantedBytes = 0;
  #isShort = false;
  #usedAtMs = -Infinity;
  #askedAtMs = -Infinity;

  constructor(budget: number) {
    this.#budget = budget;
  }

  handle(event: PermitHolderEvent, nowMs: number): PermitRequest[] {
    this.#fill(nowMs);
    if (event.type === "granted") {
      this.#apply(event.requestId, event.rate, nowMs);
      return [];
    }
    return this.#ask(nowMs);
  }

  take(bytes: number, nowMs: number): boolean {
    this.#fill(nowMs);
    this.#usedAtMs = nowMs;
    if (
      nowMs >= this.#validUntilMs || this.#tokens < this.#computeNeed(bytes)
    ) {
      this.#isShort = true;
      return false;
    }
    this.#wantedBytes += bytes;
    this.#tokens -= bytes;
    return true;
  }

  waitMs(bytes: number, nowMs: number): number {
    this.#fill(nowMs);
    if (nowMs >= this.#validUntilMs || this.#rate <= 0) return Infinity;
    const missing = this.#computeNeed(bytes) - this.#tokens;
    return Math.max(missing, 0) / this.#rate * MS_PER_SECOND;
  }

  /** A body larger than the bucket needs a full one and leaves a debt. */
  #computeNeed(bytes: number): number {
    return Math.min(bytes, this.#computeDepth());
  }

  #computeDepth(): number {
    return this.#rate * BUCKET_MS / MS_PER_SECOND;
  }

  #fill(nowMs: number): void {
    const fromMs = this.#filledAtMs;
    this.#filledAtMs = nowMs;
    const untilMs = Math.min(nowMs, this.#validUntilMs);
    if (untilMs > fromMs) {
      const added = this.#rate * (untilMs - fromMs) / MS_PER_SECOND;
      this.#tokens = Math.min(this.#tokens + added, this.#computeDepth());
    }
    // Tokens of a lapsed permit are void; a debt stays.
    if (nowMs >= this.#validUntilMs) this.#tokens = Math.min(this.#tokens, 0);
  }

  #apply(requestId: number, rate: number, nowMs: number): void {
    const sentAtMs = this.#sentAtMs.get(requestId);
    if (sentAtMs === undefined || requestId <= this.#appliedId) return;
    for (const id of this.#sentAtMs.keys()) {
      if (id <= requestId) this.#sentAtMs.delete(id);
    }
    // Validity counts from before the request, so it ends before the ledger
    // gives the rate to anyone else.
    if (sentAtMs + PERMIT_LIFETIME_MS <= nowMs) return;
    this.#appliedId = requestId;
    this.#rate = rate;
    this.#validUntilMs = sentAtMs + PERMIT_LIFETIME_MS;
    this.#tokens = Math.min(this.#tokens, this.#computeDepth());
  }

  #ask(nowMs: number): PermitRequest[] {
    if (nowMs - this.#usedAtMs > IDLE_MS) return [];
    const elapsedMs = nowMs - this.#askedAtMs;
    const isUrgent = this.#isShort && nowMs >= this.#validUntilMs &&
      elapsedMs >= REQUEST_INTERVAL_MS / 4;
    if (elapsedMs < REQUEST_INTERVAL_MS && !isUrgent) return [];
    const requestId = this.#nextId++;
    const demand = this.#computeDemand(elapsedMs);
    this.#askedAtMs = nowMs;
    this.#wantedBytes = 0;
    this.#isShort = false;
    this.#sentAtMs.set(requestId, nowMs);
    for (const [id, sentAtMs] of this.#sentAtMs) {
      if (nowMs - sentAtMs > PERMIT_LIFETIME_MS) this.#sentAtMs.delete(id);
    }
    return [{ type: "request", requestId, demand }];
  }

  #computeDemand(elapsedMs: number): number {
    const seconds = Math.max(elapsedMs, 1) / MS_PER_SECOND;
    const measured = this.#wantedBytes / seconds * DEMAND_FACTOR;
    const doubled = this.#isShort ? this.#rate * 2 : 0;
    const floor = this.#budget * MIN_DEMAND_SHARE;
    return Math.min(Math.max(measured, doubled, floor), this.#budget);
  }
}
