/**
 * Handover of resources: to deputies when this process leaves, and to members
 * that rebalancing chose.
 *
 * @module
 */

import type { TransactResult } from "@dotterelmoor/core.types";
import type { Keeper, Parts } from "./keeper.ts";
import { findConflict } from "./operations.ts";
import { buildReplacement, decodeResource, encodeRow } from "./rows.ts";
import type { ResourceRow } from "./rows.ts";

interface Transfer {
  row: ResourceRow;
  readonly successor: number;
  version: number;
  busy: boolean;
  nextMs: number;
}

/** Hands over drained resources and closes the session of a leaving process. */
export class Handover {
  readonly #parts: Parts;
  readonly #keeper: Keeper;
  readonly #transfers = new Map<string, Transfer>();
  /** End of the authority over resources closed with requests in flight. */
  #notBeforeMs = 0;

  constructor(parts: Parts, keeper: Keeper) {
    this.#parts = parts;
    this.#keeper = keeper;
  }

  /** Asks the caller to drain every held resource. */
  start(): void {
    for (const holding of this.#keeper.list()) {
      if (holding.handingOver) continue;
      holding.handingOver = true;
      const { resource } = holding;
      this.#parts.emit({ type: "handing_over", resource });
    }
  }

  /** Asks the caller to drain one resource for handover to the target member. */
  give(resource: string, target: number): void {
    Object.assign(this.#keeper.get(resource)!, { handingOver: true, target });
    this.#parts.emit({ type: "handing_over", resource });
  }

  /** Returns true while any resource drains or its write is pending. */
  isBusy(): boolean {
    return this.#transfers.size > 0 ||
      this.#keeper.list().some(({ handingOver }) => handingOver);
  }

  /** Returns true while a closed resource's write may still take effect. */
  has(resource: string): boolean {
    return this.#transfers.has(resource);
  }

  /** Closes a drained resource and writes its successor, or reopens it. */
  release(resource: string, nowMs: number): void {
    const holding = this.#keeper.get(resource);
    if (!holding?.handingOver) return;
    const { row, version } = holding;
    const target = this.#isLive(holding.target, nowMs) ? holding.target : 0;
    const isLeaving = this.#parts.session.phase === "leaving";
    if (
      !isLeaving &&
      (target === 0 || this.#keeper.reliesOnPromises(holding, nowMs))
    ) {
      return this.#keeper.reopen(holding);
    }
    this.#keeper.close(resource, "handed-over");
    const successor = target === 0
      ? this.#chooseSuccessor(resource, row.deputy, nowMs)
      : target;
    // Without a successor, removing the session row frees the resource.
    if (successor === 0) return;
    // If a change of deputy is in flight, the first write may conflict.
    const transfer = { row, successor, version, busy: false, nextMs: 0 };
    this.#transfers.set(resource, transfer);
  }

  #isLive(incarnation: number, nowMs: number): boolean {
    const members = this.#parts.members();
    return members.some((member) => member.incarnation === incarnation) &&
      !this.#keeper.hasDeputyEnded(incarnation, nowMs);
  }

  /**
   * Returns the deputy, or another live member if the deputy has ended or is
   * leaving too. The deputy's promise matters only to takeovers from a lapsed
   * owner, not to handovers.
   */
  #chooseSuccessor(resource: string, deputy: number, nowMs: number): number {
    return this.#isLive(deputy, nowMs)
      ? deputy
      : this.#keeper.chooseDeputy(resource, nowMs);
  }

  /** Drops all handovers after the session was revoked. */
  abandon(notBeforeMs: number): void {
    this.#transfers.clear();
    this.#notBeforeMs = notBeforeMs;
  }

  /** Sends and retries writes, then closes the session if leaving. */
  update(nowMs: number): void {
    const { session } = this.#parts;
    for (const [resource, transfer] of this.#transfers) {
      if (!transfer.busy && nowMs >= transfer.nextMs) {
        this.#submit(resource, transfer, nowMs);
      }
    }
    if (session.phase !== "leaving") return;
    const isDone = this.#transfers.size === 0 || nowMs >= session.leaseUntilMs;
    if (!isDone || this.#keeper.list().length > 0) return;
    if (nowMs >= this.#notBeforeMs) session.close(nowMs);
  }

  #submit(resource: string, transfer: Transfer, nowMs: number): void {
    const { operations, timings, views } = this.#parts;
    transfer.busy = true;
    transfer.nextMs = nowMs + timings.renewMs;
    const fence = transfer.row.fence + 1;
    const row = { owner: transfer.successor, deputy: 0, fence };
    const write = buildReplacement(
      resource,
      transfer.version,
      encodeRow(row),
    );
    operations.submit(write, nowMs, (result, sentAtMs, at) => {
      transfer.busy = false;
      if (result.type === "committed") {
        // Lets this process name the successor to callers that still ask it.
        const version = result.versions[resource]!;
        const value = encodeRow(row);
        views.update({ key: resource, version, value }, sentAtMs, at);
      }
      this.#answer(resource, transfer, result, at);
    });
  }

  /** Ends the handover once the row no longer names this process, or retries. */
  #answer(
    resource: string,
    transfer: Transfer,
    result: TransactResult,
    nowMs: number,
  ): void {
    if (result.type === "unavailable") return;
    const { successor: to } = transfer;
    const moved = findConflict(result, resource);
    const row = decodeResource(moved?.value ?? null);
    if (moved === undefined || row.owner !== transfer.row.owner) {
      this.#transfers.delete(resource);
      const fence = transfer.row.fence + 1;
      this.#parts.emit({ type: "handed_over", resource, to, fence });
      return;
    }
    transfer.row = row;
    transfer.version = moved.version;
    transfer.nextMs = nowMs;
  }
}
