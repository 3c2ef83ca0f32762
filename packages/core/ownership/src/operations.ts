/**
 * Table operations that wait for their result.
 *
 * @module
 */

import type {
  ReadResult,
  TableRow,
  TableTransaction,
  TransactResult,
} from "@dotterelmoor/core.types";
import type { OwnershipAction } from "./types.ts";

/**
 * An operation without a result counts as unavailable after this time, so that
 * a lost event never blocks renewals. It leaves time for three attempts within
 * a lease of 10 s.
 */
const OPERATION_TIMEOUT_MS = 3_000;

/** Receives a result with the times of sending and of receipt. */
export type Complete<Result> = (
  result: Result,
  sentAtMs: number,
  nowMs: number,
) => void;

interface Pending {
  readonly sentAtMs: number;
  readonly complete: Complete<TransactResult & ReadResult>;
}

/** Numbers operations and hands each result to the part that asked. */
export class Operations {
  readonly #emit: (action: OwnershipAction) => void;
  readonly #pending = new Map<number, Pending>();
  #lastId = 0;

  constructor(emit: (action: OwnershipAction) => void) {
    this.#emit = emit;
  }

  /** Sends a transaction. */
  submit(
    transaction: TableTransaction,
    nowMs: number,
    complete: Complete<TransactResult>,
  ): void {
    const operationId = this.#register(nowMs, complete);
    this.#emit({ type: "transact", operationId, transaction });
  }

  /** Reads one row. */
  read(key: string, nowMs: number, complete: Complete<ReadResult>): void {
    const operationId = this.#register(nowMs, complete);
    this.#emit({ type: "read", operationId, key });
  }

  /** Applies a result; results of unknown or timed out operations are void. */
  resolve(
    operationId: number,
    result: TransactResult | ReadResult,
    nowMs: number,
  ): void {
    const pending = this.#pending.get(operationId);
    if (pending === undefined) return;
    this.#pending.delete(operationId);
    pending.complete(
      result as TransactResult & ReadResult,
      pending.sentAtMs,
      nowMs,
    );
  }

  /** Ends operations that got no result in time. */
  expire(nowMs: number): void {
    for (const [operationId, pending] of [...this.#pending]) {
      if (nowMs - pending.sentAtMs < OPERATION_TIMEOUT_MS) continue;
      this.resolve(operationId, { type: "unavailable" }, nowMs);
    }
  }

  #register<Result>(nowMs: number, complete: Complete<Result>): number {
    const operationId = ++this.#lastId;
    this.#pending.set(operationId, {
      sentAtMs: nowMs,
      complete: complete as Complete<TransactResult & ReadResult>,
    });
    return operationId;
  }
}

/** Returns the present state of a row that made a transaction fail. */
export function findConflict(
  result: TransactResult,
  key: string | undefined,
): TableRow | undefined {
  return result.type === "conflict"
    ? result.rows.find((row) => row.key === key)
    : undefined;
}
