/**
 * Claims on idempotency keys as table rows, batched into transactions.
 *
 * @module
 */

import { applyEvent } from "@dotterelmoor/core.types";
import type {
  EventHandlers,
  NotRunReason,
  ReadResult,
  TableRow,
  TableTransaction,
  TransactResult,
  UnknownReason,
} from "@dotterelmoor/core.types";
import { type Claim, isOwnRow, makeClaim, makeWrite } from "./claim.ts";
import { ClaimQueue } from "./claim_queue.ts";
import type {
  Claims,
  ClaimsAction,
  ClaimsEvent,
  ClaimsOptions,
} from "./types.ts";

/** Attempts to insert a row before the request is refused. */
const MAX_ATTEMPTS = 3;

/** Delay before retrying to insert a row that a read did not find. */
const RETRY_MS = 50;

/** Delay before retrying a removal or a recheck during an outage. */
const OUTAGE_RETRY_MS = 1_000;

/**
 * Delays of the rechecks of a refused request's row. A write without an answer
 * may still take effect after a read did not find its row.
 */
const RECHECK_DELAYS_MS = [1_000, 5_000, 30_000];

/** Creates the claims of one process. */
export function createClaims(options: ClaimsOptions = {}): Claims {
  return new ClaimsMachine(options);
}

class ClaimsMachine implements Claims {
  readonly #queue: ClaimQueue;
  readonly #byRow = new Map<string, Claim>();
  readonly #byRequest = new Map<string, Claim>();
  readonly #lingerMs: number;
  #actions: ClaimsAction[] = [];
  #incarnation = 0;
  #sequence = 0;

  readonly #handlers: EventHandlers<ClaimsEvent, void> = {
    session: (event) => void (this.#incarnation = event.incarnation),
    claim: (event, nowMs) => this.#claim(event, nowMs),
    release: (event, nowMs) => this.#release(event.requestId, nowMs),
    finish: (event) => this.#finish(event.requestId),
    transacted: ({ operationId, result }, nowMs) => {
      const answered = result.type !== "unavailable";
      const claims = this.#queue.resolveBatch(operationId, answered);
      this.#handleBatchResult(claims, result, nowMs);
    },
    rows_read: ({ operationId, result }, nowMs) => {
      const answered = result.type !== "unavailable";
      const claim = this.#queue.resolveRead(operationId, answered);
      if (claim !== undefined) this.#handleReadResult(claim, result, nowMs);
    },
    tick: () => {},
  };

  constructor(options: ClaimsOptions) {
    this.#lingerMs = options.lingerMs ?? 3;
    this.#queue = new ClaimQueue({
      batchSize: Math.min(options.batchSize ?? 64, 64),
      slots: options.slots ?? 4,
      lingerMs: this.#lingerMs,
      submit: (operationId, claims) => {
        const transaction = makeTransaction(claims);
        this.#actions.push({ type: "transact", operationId, transaction });
      },
      read: (operationId, key) =>
        this.#actions.push({ type: "read", operationId, key }),
    });
  }

  handle(event: ClaimsEvent, nowMs: number): ClaimsAction[] {
    this.#expire(nowMs);
    applyEvent(this.#handlers, event, nowMs);
    this.#queue.flush(nowMs);
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  nextTickMs(): number | undefined {
    let nextMs = this.#queue.getNextDueMs();
    for (const claim of this.#byRequest.values()) {
      if (claim.state === "pending") {
        nextMs = Math.min(nextMs, claim.expiresAtMs);
      }
    }
    return nextMs === Infinity ? undefined : nextMs;
  }

  pending(): number {
    const claims = [...this.#byRow.values()];
    return claims.filter(({ state }) => state !== "granted").length;
  }

  #claim(
    event: Extract<ClaimsEvent, { type: "claim" }>,
    nowMs: number,
  ): void {
    const claim = makeClaim(event, {
      incarnation: this.#incarnation,
      sequence: ++this.#sequence,
      dueMs: nowMs + this.#lingerMs,
    });
    const previous = this.#byRow.get(claim.rowKey);
    if (previous?.state === "pending" || previous?.state === "granted") {
      return this.#refuse(claim, { unknown: "key-already-claimed" });
    }
    const cannotSend = this.#incarnation === 0 || this.#queue.isDown() ||
      event.expiresAtMs <= nowMs || previous?.state === "releasing";
    if (cannotSend) return this.#refuse(claim, { notRun: "store-unavailable" });
    if (previous !== undefined) {
      // The previous request never ran, so its row may be used for this one.
      previous.tokens.forEach((token) => claim.tokens.add(token));
      claim.isUncertain = true;
      previous.state = "settled";
      this.#queue.remove(previous);
    }
    this.#byRow.set(claim.rowKey, claim);
    this.#byRequest.set(claim.requestId, claim);
    this.#queue.add(claim);
  }

  #release(requestId: string, nowMs: number): void {
    const claim = this.#byRequest.get(requestId);
    if (claim?.state !== "granted") return;
    this.#byRequest.delete(requestId);
    this.#remove(claim, nowMs);
  }

  #finish(requestId: string): void {
    const claim = this.#byRequest.get(requestId);
    if (claim?.state === "granted") this.#settle(claim);
  }

  /** Refuses requests whose wait for a grant has expired. */
  #expire(nowMs: number): void {
    for (const claim of [...this.#byRequest.values()]) {
      if (claim.state !== "pending" || claim.expiresAtMs > nowMs) continue;
      this.#abandon(claim, nowMs);
    }
  }

  #handleBatchResult(
    claims: readonly Claim[],
    result: TransactResult,
    nowMs: number,
  ): void {
    const rows = result.type === "conflict" ? result.rows : [];
    const byKey = new Map(rows.map((row) => [row.key, row]));
    for (const claim of claims) {
      if (claim.state === "settled") continue;
      if (result.type === "unavailable") this.#retryUnanswered(claim, nowMs);
      else if (result.type === "committed") {
        const version = result.versions[claim.rowKey] ?? 0;
        this.#confirm(claim, version, nowMs);
      } else this.#handleConflict(claim, byKey.get(claim.rowKey), nowMs);
    }
  }

  /**
   * Handles a write that got no answer and may or may not have taken effect.
   */
  #retryUnanswered(claim: Claim, nowMs: number): void {
    if (claim.state === "releasing") {
      return this.#queue.add(claim, nowMs + OUTAGE_RETRY_MS);
    }
    claim.isUncertain = true;
    this.#queue.read(claim);
  }

  #confirm(claim: Claim, version: number, nowMs: number): void {
    if (claim.state === "releasing") return this.#recheck(claim, nowMs);
    claim.version = version;
    if (claim.state === "abandoned") return this.#remove(claim, nowMs);
    claim.state = "granted";
    this.#actions.push({ type: "claimed", requestId: claim.requestId });
  }

  /**
   * Handles a claim whose batch conflicted. If its own row did not conflict,
   * the claim is sent again in another batch.
   */
  #handleConflict(
    claim: Claim,
    row: TableRow | undefined,
    nowMs: number,
  ): void {
    if (claim.state === "releasing") {
      return row === undefined
        ? this.#queue.add(claim, nowMs)
        : this.#recheck(claim, nowMs);
    }
    if (row !== undefined) return this.#handleRow(claim, row, nowMs);
    if (claim.state === "abandoned") return this.#recheck(claim, nowMs);
    this.#queue.add(claim, nowMs);
  }

  #handleReadResult(claim: Claim, result: ReadResult, nowMs: number): void {
    if (claim.state === "settled") return;
    if (result.type === "unavailable") {
      if (claim.state === "pending") this.#abandon(claim, nowMs);
      return this.#queue.add(claim, nowMs + OUTAGE_RETRY_MS);
    }
    const row = result.rows.find(({ key }) => key === claim.rowKey);
    if (row !== undefined && row.version > 0) {
      return this.#handleRow(claim, row, nowMs);
    }
    if (claim.state === "abandoned") return this.#recheck(claim, nowMs);
    if (++claim.attempts < MAX_ATTEMPTS) {
      return this.#queue.add(claim, nowMs + RETRY_MS);
    }
    this.#abandon(claim, nowMs);
    this.#recheck(claim, nowMs);
  }

  #handleRow(claim: Claim, row: TableRow, nowMs: number): void {
    if (isOwnRow(claim, row)) return this.#confirm(claim, row.version, nowMs);
    if (claim.state === "pending") {
      this.#refuse(claim, { unknown: "key-already-claimed" });
    }
    this.#recheck(claim, nowMs);
  }

  /** Refuses a request; if its row appears later, it is removed. */
  #abandon(claim: Claim, nowMs: number): void {
    claim.state = "abandoned";
    this.#byRequest.delete(claim.requestId);
    this.#refuse(claim, { notRun: "store-unavailable" });
    if (this.#queue.remove(claim)) this.#recheck(claim, nowMs);
  }

  #remove(claim: Claim, nowMs: number): void {
    claim.state = "releasing";
    this.#queue.add(claim, nowMs + this.#lingerMs);
  }

  /** Schedules another read if an unanswered write may still take effect. */
  #recheck(claim: Claim, nowMs: number): void {
    claim.state = "abandoned";
    this.#byRequest.delete(claim.requestId);
    const delayMs = claim.isUncertain
      ? RECHECK_DELAYS_MS[claim.rechecks++]
      : undefined;
    if (delayMs === undefined) return this.#settle(claim);
    this.#queue.add(claim, nowMs + delayMs);
  }

  #settle(claim: Claim): void {
    claim.state = "settled";
    this.#byRequest.delete(claim.requestId);
    if (this.#byRow.get(claim.rowKey) === claim) {
      this.#byRow.delete(claim.rowKey);
    }
  }

  #refuse(
    claim: Claim,
    outcome: { notRun: NotRunReason } | { unknown: UnknownReason },
  ): void {
    this.#actions.push({
      type: "refused",
      requestId: claim.requestId,
      outcome: "notRun" in outcome
        ? { type: "not-run", reason: outcome.notRun }
        : { type: "unknown", reason: outcome.unknown },
    });
  }
}

function makeTransaction(claims: readonly Claim[]): TableTransaction {
  return {
    checks: claims.map((claim) => ({
      key: claim.rowKey,
      version: claim.state === "releasing" ? claim.version : 0,
    })),
    writes: claims.map(makeWrite),
  };
}
