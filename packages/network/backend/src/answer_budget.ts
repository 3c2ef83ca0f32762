/**
 * Bounds the bytes that all responses in progress may take together.
 *
 * @module
 */

import { SEGMENT_BYTES, SegmentPool } from "./segment_pool.ts";

/** Bytes that each response may take whatever the others take: one read from a
 * socket. */
export const GUARANTEED_BYTES = SEGMENT_BYTES;

/** A response that was rejected because all together took too much. */
export interface BudgetRejection {
  /** Bytes that this response took. */
  readonly heldBytes: number;
  /** Bytes that all responses took. */
  readonly totalBytes: number;
}

/** What one response in progress takes of the budget. */
export class AnswerShare {
  readonly #budget: AnswerBudget;
  readonly #onReject: (rejection: BudgetRejection) => void;
  #heldBytes = 0;
  #announcedBytes: number | undefined;

  constructor(
    budget: AnswerBudget,
    onReject: (rejection: BudgetRejection) => void,
  ) {
    this.#budget = budget;
    this.#onReject = onReject;
  }

  /** Memory for the response's body. */
  get pool(): SegmentPool {
    return this.#budget.pool;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Bytes that the response may still come to take: a server may announce more
   * than it sends, and a body without a length may grow as much again. */
  get expectedBytes(): number {
    return this.#announcedBytes ?? 2 * this.#heldBytes;
  }

  /** Sets the length of the body that the server has announced. */
  setAnnounced(bytes: number): void {
    this.#announcedBytes = bytes;
  }

  /** Sets the bytes taken so far; may reject this or another response. */
  setHeld(bytes: number): void {
    const grownBytes = bytes - this.#heldBytes;
    this.#heldBytes = bytes;
    this.#budget.add(grownBytes);
  }

  /** Rejects the response, whose bytes are no longer needed. */
  reject(totalBytes: number): void {
    this.#onReject({ heldBytes: this.#heldBytes, totalBytes });
  }

  /** Returns the bytes to the budget; from then on, the response cannot be
   * rejected. */
  release(): void {
    this.#budget.remove(this);
    this.#heldBytes = 0;
  }
}

/**
 * Budget of the responses in progress. When it is exceeded, the responses that
 * may come to take the most are rejected, so that one that never ends goes
 * before a small one.
 */
export class AnswerBudget {
  readonly pool: SegmentPool;
  readonly #maxBytes: number;
  readonly #shares = new Set<AnswerShare>();
  #totalBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
    this.pool = new SegmentPool(maxBytes);
  }

  /** Opens a share; to be released once the response has ended. */
  open(onReject: (rejection: BudgetRejection) => void): AnswerShare {
    const share = new AnswerShare(this, onReject);
    this.#shares.add(share);
    return share;
  }

  /** Adds bytes that a response has come to take. */
  add(bytes: number): void {
    this.#totalBytes += bytes;
    while (this.#totalBytes > this.#maxBytes) {
      const share = this.#findLargest();
      if (share === undefined) return;
      const totalBytes = this.#totalBytes;
      this.remove(share);
      share.reject(totalBytes);
    }
  }

  /** Removes a share and the bytes that it takes. */
  remove(share: AnswerShare): void {
    if (this.#shares.delete(share)) this.#totalBytes -= share.heldBytes;
  }

  /** Finds the response to reject; of equal ones that which began first, as it
   * has had the most time to end. */
  #findLargest(): AnswerShare | undefined {
    let largest: AnswerShare | undefined;
    for (const share of this.#shares) {
      if (share.heldBytes <= GUARANTEED_BYTES) continue;
      if (share.expectedBytes > (largest?.expectedBytes ?? 0)) largest = share;
    }
    return largest;
  }
}
