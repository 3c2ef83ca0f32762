/**
 * Pending table operations.
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
 * a lost event never blocks renewals. It allows three attempts within a lease
 * of 10 s.
 */
const OPERATION_TIMEOUT_MS = 3_000;

/** Receives a result with its send and receive times. */
export type ResultCallback<Result> = (
  result: Result,
  sentAtMs: number,
  nowMs: number,
) => void;

interface PendingOperation {
  readonly sentAtMs: number;
  readonly complete: ResultCallback<TransactResult & ReadResult>;
}

/** Numbers operations and passes each result to its callback. */
export class Operations {
  readonly #emit: (action: OwnershipAction) => void;
  readonly #pending = new Map<number, PendingOperation>();
  #lastId = 0;

  constructor(emit: (action: OwnershipAction) => void) {
    this.#emit = emit;
  }

  /** Sends a transaction. */
  submit(
    transaction: TableTransaction,
    nowMs: number,
    complete: ResultCallback<TransactResult>,
  ): void {
    const operationId = this.#register(nowMs, complete);
    this.#emit({ type: "transact", operationId, transaction });
  }

  /** Reads one row. */
  read(key: string, nowMs: number, complete: ResultCallback<ReadResult>): void {
    const operationId = this.#register(nowMs, complete);
    this.#emit({ type: "read", operationId, key });
  }

  /** Applies a result; ignores results of unknown or timed out operations. */
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

  /** Times out operations that got no result. */
  expire(nowMs: number): void {
    for (const [operationId, pending] of [...this.#pending]) {
      if (nowMs - pending.sentAtMs < OPERATION_TIMEOUT_MS) continue;
      this.resolve(operationId, { type: "unavailable" }, nowMs);
    }
  }

  #register<Result>(nowMs: number, complete: ResultCallback<Result>): number {
    const operationId = ++this.#lastId;
    this.#pending.set(operationId, {
      sentAtMs: nowMs,
      complete: complete as ResultCallback<TransactResult & ReadResult>,
    });
    return operationId;
  }
}

/** Returns the current state of a row whose check failed a transaction. */
export function findConflict(
  result: TransactResult,
  key: string | undefined,
): TableRow | undefined {
  return result.type === "conflict"
    ? result.rows.find((row) => row.key === key)
    : undefined;
}
