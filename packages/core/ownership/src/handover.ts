/**
 * Handover of resources: to deputies when this process leaves, and to members
 * that rebalancing chose.
 *
 * @module
 */

import type { TransactResult } from "@dotterelmoor/core.types";
import type { HeldResources, OwnershipContext } from "./held_resources.ts";
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
  readonly #context: OwnershipContext;
  readonly #heldResources: HeldResources;
  readonly #transfers = new Map<string, Transfer>();
  /** End of the authority over resources closed with requests in flight. */
  #notBeforeMs = 0;

  constructor(context: OwnershipContext, heldResources: HeldResources) {
    this.#context = context;
    this.#heldResources = heldResources;
  }

  /** Asks the caller to drain every held resource. */
  start(): void {
    for (const holding of this.#heldResources.list()) {
      if (holding.handingOver) continue;
      holding.handingOver = true;
      const { resource } = holding;
      this.#context.emit({ type: "handing_over", resource });
    }
  }

  /**
   * Asks the caller to drain one resource for handover to the target member.
   */
  requestDrain(resource: string, target: number): void {
    Object.assign(this.#heldResources.get(resource)!, {
      handingOver: true,
      target,
    });
    this.#context.emit({ type: "handing_over", resource });
  }

  /** Returns true while any resource drains or its write is pending. */
  isBusy(): boolean {
    return this.#transfers.size > 0 ||
      this.#heldResources.list().some(({ handingOver }) => handingOver);
  }

  /** Returns true while a closed resource's write may still take effect. */
  has(resource: string): boolean {
    return this.#transfers.has(resource);
  }

  /** Closes a drained resource and writes its successor, or reopens it. */
  release(resource: string, nowMs: number): void {
    const holding = this.#heldResources.get(resource);
    if (!holding?.handingOver) return;
    const { row, version } = holding;
    const target = this.#isLive(holding.target, nowMs) ? holding.target : 0;
    const isLeaving = this.#context.session.phase === "leaving";
    if (
      !isLeaving &&
      (target === 0 || this.#heldResources.reliesOnPromises(holding, nowMs))
    ) {
      return this.#heldResources.reopen(holding);
    }
    this.#heldResources.close(resource, "handed-over");
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
    const members = this.#context.members();
    return members.some((member) => member.incarnation === incarnation) &&
      !this.#heldResources.hasSessionEnded(incarnation, nowMs);
  }

  /**
   * Returns the deputy, or another live member if the deputy has ended or is
   * leaving too. The deputy's promise matters only to takeovers from a lapsed
   * owner, not to handovers.
   */
  #chooseSuccessor(resource: string, deputy: number, nowMs: number): number {
    return this.#isLive(deputy, nowMs)
      ? deputy
      : this.#heldResources.chooseDeputy(resource, nowMs);
  }

  /** Drops all handovers after the session was revoked. */
  cancelAll(notBeforeMs: number): void {
    this.#transfers.clear();
    this.#notBeforeMs = notBeforeMs;
  }

  /** Sends and retries writes, then closes the session if leaving. */
  update(nowMs: number): void {
    const { session } = this.#context;
    for (const [resource, transfer] of this.#transfers) {
      if (!transfer.busy && nowMs >= transfer.nextMs) {
        this.#submit(resource, transfer, nowMs);
      }
    }
    if (session.phase !== "leaving") return;
    const isDone = this.#transfers.size === 0 || nowMs >= session.leaseUntilMs;
    if (!isDone || this.#heldResources.list().length > 0) return;
    if (nowMs >= this.#notBeforeMs) session.close(nowMs);
  }

  #submit(resource: string, transfer: Transfer, nowMs: number): void {
    const { operations, timings, views } = this.#context;
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
      this.#handleResult(resource, transfer, result, at);
    });
  }

  /**
   * Ends the handover once the row no longer names this process, or retries.
   */
  #handleResult(
    resource: string,
    transfer: Transfer,
    result: TransactResult,
    nowMs: number,
  ): void {
    if (result.type === "unavailable") return;
    const { successor: to } = transfer;
    const conflict = findConflict(result, resource);
    const row = decodeResource(conflict?.value ?? null);
    if (conflict === undefined || row.owner !== transfer.row.owner) {
      this.#transfers.delete(resource);
      const fence = transfer.row.fence + 1;
      this.#context.emit({ type: "handed_over", resource, to, fence });
      return;
    }
    transfer.row = row;
    transfer.version = conflict.version;
    transfer.nextMs = nowMs;
  }
}
