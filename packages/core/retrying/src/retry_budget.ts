/**
 * Limits retries to a share of the requests in a sliding window.
 *
 * @module
 */

import { applyEvent } from "@dotterelmoor/core.types";
import type {
  EventHandlers,
  RetryLimits,
  StateMachine,
} from "@dotterelmoor/core.types";

/** Input of the retry budget. */
export type RetryEvent =
  | {
    /** Records a first attempt, which adds to the budget. */
    readonly type: "request";
  }
  | {
    /** Requests a retry; answered with `granted` or `denied`. */
    readonly type: "retry";
    readonly id: string;
  }
  | { readonly type: "settings"; readonly limits: RetryLimits };

/** Output of the retry budget. */
export type RetryAction =
  | { readonly type: "granted"; readonly id: string }
  | { readonly type: "denied"; readonly id: string };

/** Options of {@linkcode createRetryBudget}. */
export interface RetryBudgetOptions {
  readonly limits: RetryLimits;
}

/** Retry budget of one service in one region. */
export interface RetryBudget extends StateMachine<RetryEvent, RetryAction> {
  /** Returns how many retries would be granted now. */
  getRemaining(nowMs: number): number;
}

/** Creates a retry budget. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  return new WindowedBudget(options.limits);
}

/** Buckets per window; retries count up to 1/20 of the window too long. */
const BUCKETS_PER_WINDOW = 20;

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

class WindowedBudget implements RetryBudget {
  #limits: RetryLimits;
  #buckets: Bucket[] = [];

  readonly #handlers: EventHandlers<RetryEvent, RetryAction[]> = {
    request: (_event, nowMs) => {
      this.#getBucket(nowMs).requests += 1;
      return [];
    },
    retry: ({ id }, nowMs) => {
      if (this.getRemaining(nowMs) < 1) return [{ type: "denied", id }];
      this.#getBucket(nowMs).retries += 1;
      return [{ type: "granted", id }];
    },
    settings: ({ limits }) => {
      this.#limits = limits;
      return [];
    },
  };

  constructor(limits: RetryLimits) {
    this.#limits = limits;
  }

  handle(event: RetryEvent, nowMs: number): RetryAction[] {
    return applyEvent(this.#handlers, event, nowMs);
  }

  getRemaining(nowMs: number): number {
    const { ratio, floor, windowMs } = this.#limits;
    const widthMs = windowMs / BUCKETS_PER_WINDOW;
    let requests = 0;
    let retries = 0;
    for (const bucket of this.#buckets) {
      // To never exceed the budget, retries count until the window has passed
      // for the last one in the bucket, requests only for the first one.
      const ageMs = nowMs - bucket.startMs;
      if (ageMs <= windowMs) requests += bucket.requests;
      if (ageMs <= windowMs + widthMs) retries += bucket.retries;
    }
    return Math.max(0, Math.floor(ratio * requests + floor) - retries);
  }

  #getBucket(nowMs: number): Bucket {
    const { windowMs } = this.#limits;
    const widthMs = windowMs / BUCKETS_PER_WINDOW;
    const last = this.#buckets.at(-1);
    if (last !== undefined && nowMs - last.startMs < widthMs) return last;
    const bucket = { startMs: nowMs, requests: 0, retries: 0 };
    this.#buckets = this.#buckets.filter(({ startMs }) =>
      nowMs - startMs <= windowMs + widthMs
    );
    this.#buckets.push(bucket);
    return bucket;
  }
}
