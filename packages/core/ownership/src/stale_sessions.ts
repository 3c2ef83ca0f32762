/**
 * Removal of session rows that earlier processes of this instance left behind.
 *
 * @module
 */

import type { Operations } from "./operations.ts";
import { buildReplacement, decodeSession } from "./rows.ts";
import type { OwnershipIdentity, OwnershipTimings } from "./types.ts";
import type { RowView } from "./views.ts";

/** Dependencies of the removal. */
export interface StaleSessionRemoverOptions {
  readonly identity: OwnershipIdentity;
  readonly timings: OwnershipTimings;
  readonly operations: Operations;
}

/**
 * Removes the session rows of earlier processes of this instance at the same
 * address. Only one process can listen on an address, so they have ended, and
 * requests that they sent end within the takeover wait. The platform's list
 * does not show this, as it still contains the instance.
 */
export class StaleSessionRemover {
  readonly #options: StaleSessionRemoverOptions;
  readonly #nextMs = new Map<string, number>();

  constructor(options: StaleSessionRemoverOptions) {
    this.#options = options;
  }

  /** Applies a read of a session row. */
  applyRow(key: string, view: RowView): void {
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
    // The result is ignored: the next read of the row shows it.
    operations.submit(removal, nowMs, () => {});
  }
}
