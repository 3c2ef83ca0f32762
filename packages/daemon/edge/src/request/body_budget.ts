/**
 * Bounds the bytes that callers' bodies may take together.
 *
 * @module
 */

import { startTimeout } from "@dotterelmoor/network.timing";

/** Bytes of the budget that a body has claimed. */
export interface BodyClaim {
  /** Returns the bytes beyond `bytes`, which the body does not need. */
  shrinkTo(bytes: number): void;
  /** Returns all bytes; further calls have no effect. */
  release(): void;
}

/** How long a claim waits. */
export interface ClaimOptions {
  readonly waitMs: number;
  /** Gives the claim up. */
  readonly signal: AbortSignal;
}

interface WaitingClaim {
  readonly bytes: number;
  readonly grant: () => void;
}

/** Budget whose claims are granted in order of arrival, so that a large one is
 * not passed over for ever. */
export class BodyBudget {
  readonly #maxBytes: number;
  #usedBytes = 0;
  readonly #waiting = new Set<WaitingClaim>();

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Claims bytes once there is room for them; a claim beyond the whole budget
   * waits until no other is left. Resolves to undefined if there was no room in
   * time. */
  claim(
    bytes: number,
    { waitMs, signal }: ClaimOptions,
  ): Promise<BodyClaim | undefined> {
    if (this.#waiting.size === 0 && this.#hasRoom(bytes)) {
      return Promise.resolve(this.#take(bytes));
    }
    return new Promise((resolve) => {
      const giveUp = () => {
        finish();
        resolve(undefined);
        // Smaller claims may have waited behind this one.
        this.#grantWaiting();
      };
      const waiting = {
        bytes,
        grant: () => {
          finish();
          resolve(this.#take(bytes));
        },
      };
      const finish = () => {
        timeout.stop();
        signal.removeEventListener("abort", giveUp);
        this.#waiting.delete(waiting);
      };
      const timeout = startTimeout(giveUp, waitMs);
      signal.addEventListener("abort", giveUp, { once: true });
      this.#waiting.add(waiting);
    });
  }

  #hasRoom(bytes: number): boolean {
    return this.#usedBytes === 0 || this.#usedBytes + bytes <= this.#maxBytes;
  }

  #take(bytes: number): BodyClaim {
    let heldBytes = bytes;
    this.#usedBytes += bytes;
    const shrinkTo = (leftBytes: number) => {
      if (leftBytes >= heldBytes) return;
      this.#usedBytes -= heldBytes - leftBytes;
      heldBytes = leftBytes;
      this.#grantWaiting();
    };
    return { shrinkTo, release: () => shrinkTo(0) };
  }

  #grantWaiting(): void {
    for (const waiting of this.#waiting) {
      if (!this.#hasRoom(waiting.bytes)) return;
      waiting.grant();
    }
  }
}
