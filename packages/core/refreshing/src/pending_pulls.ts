/**
 * Pulls from other entries that are not answered yet.
 *
 * @module
 */

import { ANSWER_DUE_MS } from "./timings.ts";
import type { CatalogSource } from "./types.ts";

/** A pull without an answer. */
export interface PendingPull {
  readonly source: CatalogSource;
  readonly sentAtMs: number;
  /** True for a pull that is sent beside others. */
  readonly isHedge: boolean;
}

/** The pending pulls of one entry. */
export class PendingPulls {
  readonly #pulls = new Map<number, PendingPull & { isLate: boolean }>();

  add(id: number, pull: PendingPull): void {
    this.#pulls.set(id, { ...pull, isLate: false });
  }

  /** Removes a pull that was answered or has failed; undefined if it is
   * unknown. */
  take(id: number): PendingPull | undefined {
    const pull = this.#pulls.get(id);
    this.#pulls.delete(id);
    return pull;
  }

  /** True while the answer to a pull is awaited before the next one. */
  get isWaiting(): boolean {
    return [...this.#pulls.values()]
      .some(({ isLate, isHedge }) => !isLate && !isHedge);
  }

  /** True if a pull from the same entry is pending; `any` may select another
   * entry each time. */
  hasPending(source: CatalogSource): boolean {
    return [...this.#pulls.values()]
      .some((pull) => isSameEntry(pull.source, source));
  }

  /** Time at which the next pull becomes late; infinite for none. */
  get lateAtMs(): number {
    const times = [...this.#pulls.values()]
      .filter(({ isLate }) => !isLate)
      .map(({ sentAtMs }) => sentAtMs + ANSWER_DUE_MS);
    return Math.min(...times);
  }

  /** Marks the pulls that became late, and lists their sources. */
  markLate(nowMs: number): CatalogSource[] {
    const sources: CatalogSource[] = [];
    for (const pull of this.#pulls.values()) {
      if (pull.isLate || nowMs < pull.sentAtMs + ANSWER_DUE_MS) continue;
      pull.isLate = true;
      sources.push(pull.source);
    }
    return sources;
  }
}

function isSameEntry(a: CatalogSource, b: CatalogSource): boolean {
  if (a.type === "process") {
    return b.type === "process" && a.processId === b.processId;
  }
  if (a.type === "address") {
    return b.type === "address" && a.peerAddress === b.peerAddress;
  }
  return false;
}
