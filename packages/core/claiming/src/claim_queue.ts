/**
 * Queue of claims to send, and their operations in flight.
 *
 * @module
 */

import type { Claim } from "./claim.ts";

/** Maximum reads in flight; more would compete with the writes. */
const MAX_READS = 64;

/** Options of {@linkcode ClaimQueue}. */
export interface ClaimQueueOptions {
  readonly batchSize: number;
  readonly slots: number;
  readonly lingerMs: number;
  readonly submit: (operationId: number, claims: readonly Claim[]) => void;
  readonly read: (operationId: number, key: string) => void;
}

/** Batches claims and limits the operations in flight. */
export class ClaimQueue {
  readonly #options: ClaimQueueOptions;
  readonly #waiting = new Set<Claim>();
  readonly #pendingReads = new Set<Claim>();
  readonly #batches = new Map<number, readonly Claim[]>();
  readonly #reads = new Map<number, Claim>();
  #lastId = 0;
  /** Consecutive operations that got no answer. */
  #failures = 0;

  constructor(options: ClaimQueueOptions) {
    this.#options = options;
  }

  /** Adds a claim to be written, or to be read if it was abandoned. */
  add(claim: Claim, dueMs = claim.dueMs): void {
    claim.dueMs = dueMs;
    this.#waiting.add(claim);
  }

  /** Removes a claim; returns false if its operation is in flight. */
  remove(claim: Claim): boolean {
    return this.#pendingReads.delete(claim) || this.#waiting.delete(claim);
  }

  /** Reads the row of a claim as soon as possible. */
  read(claim: Claim): void {
    this.#pendingReads.add(claim);
  }

  /** Returns true in an outage while a pending claim will detect its end. */
  isDown(): boolean {
    return this.#isFailing() && (this.#waiting.size > 0 || this.#isBusy());
  }

  /**
   * Returns when the next waiting claim is due, `Infinity` if there is none.
   */
  getNextDueMs(): number {
    let nextMs = Infinity;
    for (const claim of this.#waiting) nextMs = Math.min(nextMs, claim.dueMs);
    return nextMs;
  }

  /** Sends the operations that are due. */
  flush(nowMs: number): void {
    for (const claim of this.#waiting) {
      if (claim.state !== "abandoned" || claim.dueMs > nowMs) continue;
      this.#waiting.delete(claim);
      this.#pendingReads.add(claim);
    }
    this.#sendReads();
    this.#sendBatches(nowMs);
  }

  /** Ends a batch and returns its claims. */
  resolveBatch(operationId: number, answered: boolean): readonly Claim[] {
    const claims = this.#batches.get(operationId) ?? [];
    if (this.#batches.delete(operationId)) this.#recordResult(answered);
    return claims;
  }

  /** Ends a read and returns its claim. */
  resolveRead(operationId: number, answered: boolean): Claim | undefined {
    const claim = this.#reads.get(operationId);
    if (this.#reads.delete(operationId)) this.#recordResult(answered);
    return claim;
  }

  #recordResult(answered: boolean): void {
    this.#failures = answered ? 0 : this.#failures + 1;
  }

  /** Returns true in an outage; a single lost answer is not an outage. */
  #isFailing(): boolean {
    return this.#failures > 1;
  }

  #isBusy(): boolean {
    return this.#batches.size + this.#reads.size + this.#pendingReads.size > 0;
  }

  #sendReads(): void {
    for (const claim of this.#pendingReads) {
      if (this.#reads.size >= (this.#isFailing() ? 1 : MAX_READS)) return;
      this.#pendingReads.delete(claim);
      const operationId = ++this.#lastId;
      this.#reads.set(operationId, claim);
      this.#options.read(operationId, claim.rowKey);
    }
  }

  #sendBatches(nowMs: number): void {
    const { batchSize, slots, submit } = this.#options;
    // During an outage only one claim is sent at a time, so that few writes
    // have an unknown result.
    const isFailing = this.#isFailing();
    const size = isFailing ? 1 : batchSize;
    while (this.#batches.size < (isFailing ? 1 : slots)) {
      const claims = this.#pickBatch(size, nowMs);
      if (claims.length === 0) return;
      claims.forEach((claim) => this.#waiting.delete(claim));
      const operationId = ++this.#lastId;
      this.#batches.set(operationId, claims);
      submit(operationId, claims);
    }
  }

  /**
   * Picks the next batch, or no claims until it is full or one claim is due.
   */
  #pickBatch(size: number, nowMs: number): Claim[] {
    const ready = [...this.#waiting].filter((claim) =>
      claim.state !== "abandoned" &&
      claim.dueMs <= nowMs + this.#options.lingerMs
    );
    const isDue = ready.length >= size ||
      ready.some((claim) => claim.dueMs <= nowMs);
    return isDue ? ready.slice(0, size) : [];
  }
}
