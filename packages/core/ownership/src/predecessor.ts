/**
 * Frees what earlier processes at the own address left behind.
 *
 * @module
 */

import type { Operations } from "./operations.ts";
import { buildReplacement, decodeSession } from "./rows.ts";
import type { OwnershipIdentity, OwnershipTimings } from "./types.ts";
import type { RowView } from "./views.ts";

/** Parts that the removal works with. */
export interface PredecessorOptions {
  readonly identity: OwnershipIdentity;
  readonly timings: OwnershipTimings;
  readonly operations: Operations;
}

/**
 * Removes the session rows of earlier processes of this instance. Only one
 * process can listen at an address, so they have ended, and work that they sent
 * ends within the takeover wait. The platform's list cannot tell this, because
 * it still shows the instance.
 */
export class Predecessor {
  readonly #options: PredecessorOptions;
  readonly #nextMs = new Map<string, number>();

  constructor(options: PredecessorOptions) {
    this.#options = options;
  }

  /** Applies a reading of a session row. */
  answerView(key: string, view: RowView): void {
    const { identity, operations, timings } = this.#options;
    const session = decodeSession(view.value);
    if (session?.instance !== identity.instance) return;
    if (session.address !== identity.address) return;
    if (session.processId === identity.processId) return;
    const nowMs = view.readAtMs;
    if (nowMs - view.firstSeenMs < timings.takeoverMs) return;
    if (nowMs < (this.#nextMs.get(key) ?? 0)) return;
    this.#nextMs.set(key, nowMs + timings.renewMs);
    const removal = buildReplacement(key, view.version, null);
    // The next reading of the row shows whether the removal took effect.
    operations.submit(removal, nowMs, () => {});
  }
}
