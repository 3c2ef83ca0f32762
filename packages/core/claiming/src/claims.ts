/**
 * Claims on idempotency keys in the table, batched into transactions.
 *
 * @module
 */

import type {
  NotRunReason,
  ReadResult,
  TableRow,
  TransactResult,
  UnknownReason,
} from "@dotterelmoor/core.types";
import { Releases } from "./releases.ts";
import { buildClaimKey, encodeClaim, isOwnRow } from "./rows.ts";
import type { ClaimRow } from "./rows.ts";
import type {
  Claims,
  ClaimsAction,
  ClaimsEvent,
  ClaimsOptions,
} from "./types.ts";

/** Largest transaction; the table bounds the rows of one. */
const MAX_BATCH_SIZE = 64;
const DEFAULT_LINGER_MS = 3;
const DEFAULT_SLOTS = 4;

/** Creates the claims of one process. */
export function createClaims(options: ClaimsOptions = {}): Claims {
  return new ClaimsMachine(options);
}

/** A claim that is queued, in flight or granted. */
interface Claim {
  readonly requestId: string;
  readonly tableKey: string;
  readonly row: ClaimRow;
  readonly expiresAtMs: number;
  /** Version of the row once it is granted. */
  version: number;
}

type Operation =
  | { readonly type: "batch"; readonly claims: readonly Claim[] }
  | { readonly type: "check"; readonly claim: Claim };

interface Turn {
  readonly nowMs: number;
  readonly actions: ClaimsAction[];
}

type Handlers = {
  readonly [Type in ClaimsEvent["type"]]: (
    event: Extract<ClaimsEvent, { type: Type }>,
    turn: Turn,
  ) => void;
};

class ClaimsMachine implements Claims {
  readonly #lingerMs: number;
  readonly #batchSize: number;
  readonly #slots: number;
  readonly #releases = new Releases();
  readonly #claims = new Map<string, Claim>();
  /** Keys of claims of this process that are not over. */
  readonly #keys = new Set<string>();
  readonly #operations = new Map<number, Operation>();
  #queue: Claim[] = [];
  #sendAtMs: number | undefined;
  #batches = 0;
  #incarnation = 0;
  #nextSequence = 1;
  #nextOperation = 1;

  readonly #handlers: Handlers = {
    session: ({ incarnation }) => {
      this.#incarnation = incarnation;
    },
    claim: (event, turn) => this.#claim(event, turn),
    release: ({ requestId }, turn) => this.#release(requestId, turn),
    finish: ({ requestId }) => this.#forget(requestId),
    transacted: ({ operationId, result }, turn) =>
      this.#applyTransacted(operationId, result, turn),
    rows_read: ({ operationId, result }, turn) =>
      this.#applyRead(operationId, result, turn),
    tick: () => {},
  };

  constructor(options: ClaimsOptions) {
    this.#lingerMs = options.lingerMs ?? DEFAULT_LINGER_MS;
    this.#batchSize = Math.min(
      options.batchSize ?? MAX_BATCH_SIZE,
      MAX_BATCH_SIZE,
    );
    this.#slots = options.slots ?? DEFAULT_SLOTS;
  }

  handle(event: ClaimsEvent, nowMs: number): ClaimsAction[] {
    const turn: Turn = { nowMs, actions: [] };
    const handler = this.#handlers[event.type] as (
      event: ClaimsEvent,
      turn: Turn,
    ) => void;
    handler(event, turn);
    this.#refuseExpired(turn);
    this.#sendBatches(turn);
    this.#sendReleases(turn);
    return turn.actions;
  }

  nextTickMs(): number | undefined {
    const times: number[] = [];
    if (this.#queue.length > 0) {
      const isBusy = this.#batches >= this.#slots;
      if (!isBusy) times.push(this.#sendAtMs ?? 0);
      times.push(...this.#queue.map(({ expiresAtMs }) => expiresAtMs));
    }
    const releaseMs = this.#releases.nextMs();
    if (releaseMs !== undefined) times.push(releaseMs);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  pending(): number {
    const inFlight = [...this.#operations.values()].reduce(
      (sum, operation) =>
        sum + (operation.type === "batch" ? operation.claims.length : 1),
      0,
    );
    return this.#queue.length + inFlight + this.#releases.size;
  }

  #claim(
    event: Extract<ClaimsEvent, { type: "claim" }>,
    turn: Turn,
  ): void {
    const { requestId, fingerprint, expiresAtMs } = event;
    const tableKey = buildClaimKey(event.service, event.key);
    if (this.#releases.has(tableKey)) {
      return refuseNotRun(turn, requestId, "store-unavailable");
    }
    if (this.#keys.has(tableKey)) {
      return refuseUnknown(turn, requestId, "key-already-claimed");
    }
    if (this.#incarnation === 0) {
      return refuseNotRun(turn, requestId, "store-unavailable");
    }
    const sequence = this.#nextSequence++;
    const row = { incarnation: this.#incarnation, sequence, fingerprint };
    const claim = { requestId, tableKey, row, expiresAtMs, version: 0 };
    this.#claims.set(requestId, claim);
    this.#keys.add(tableKey);
    if (this.#queue.length === 0) this.#sendAtMs = turn.nowMs + this.#lingerMs;
    this.#queue.push(claim);
  }

  #release(requestId: string, turn: Turn): void {
    const claim = this.#claims.get(requestId);
    if (claim === undefined || claim.version === 0) return;
    this.#forget(requestId);
    this.#releases.add(claim, turn.nowMs);
  }

  #forget(requestId: string): void {
    const claim = this.#claims.get(requestId);
    if (claim === undefined) return;
    this.#claims.delete(requestId);
    this.#keys.delete(claim.tableKey);
  }

  #refuseExpired(turn: Turn): void {
    const expired = this.#queue.filter(({ expiresAtMs }) =>
      expiresAtMs <= turn.nowMs
    );
    if (expired.length === 0) return;
    this.#queue = this.#queue.filter((claim) => !expired.includes(claim));
    for (const claim of expired) this.#abandon(claim, turn);
  }

  /** Gives up a claim whose earlier write may still take effect. */
  #abandon(claim: Claim, turn: Turn): void {
    this.#forget(claim.requestId);
    this.#releases.add(claim, turn.nowMs);
    refuseNotRun(turn, claim.requestId, "store-unavailable");
  }

  #sendBatches(turn: Turn): void {
    while (
      this.#queue.length > 0 && this.#batches < this.#slots &&
      (this.#queue.length >= this.#batchSize ||
        (this.#sendAtMs ?? 0) <= turn.nowMs)
    ) {
      const claims = this.#queue.splice(0, this.#batchSize);
      const operationId = this.#nextOperation++;
      this.#operations.set(operationId, { type: "batch", claims });
      this.#batches += 1;
      turn.actions.push({
        type: "transact",
        operationId,
        transaction: {
          checks: claims.map(({ tableKey }) => ({ key: tableKey, version: 0 })),
          writes: claims.map(({ tableKey, row }) => ({
            key: tableKey,
            value: encodeClaim(row),
          })),
        },
      });
    }
  }

  #sendReleases(turn: Turn): void {
    this.#releases.send(turn, () => this.#nextOperation++);
  }

  #applyTransacted(
    operationId: number,
    result: TransactResult,
    turn: Turn,
  ): void {
    const operation = this.#operations.get(operationId);
    if (operation?.type !== "batch") {
      this.#releases.applyTransacted(operationId, result, turn.nowMs);
      return;
    }
    this.#operations.delete(operationId);
    this.#batches -= 1;
    const { claims } = operation;
    if (result.type === "committed") {
      for (const claim of claims) {
        this.#grant(claim, result.versions[claim.tableKey] ?? 0, turn);
      }
    } else if (result.type === "conflict") {
      this.#applyConflict(claims, result.rows, turn);
    } else {
      for (const claim of claims) this.#check(claim, turn);
    }
  }

  /** Settles the claims whose rows exist; the others go first again. */
  #applyConflict(
    claims: readonly Claim[],
    rows: readonly TableRow[],
    turn: Turn,
  ): void {
    const found = new Map(rows.map((row) => [row.key, row]));
    const again: Claim[] = [];
    for (const claim of claims) {
      const row = found.get(claim.tableKey);
      if (row === undefined || row.value === null) again.push(claim);
      else this.#settle(claim, row, turn);
    }
    this.#queue.unshift(...again);
    this.#sendAtMs = turn.nowMs;
  }

  #settle(claim: Claim, row: TableRow, turn: Turn): void {
    if (isOwnRow(row, claim.row)) {
      this.#grant(claim, row.version, turn);
    } else {
      this.#forget(claim.requestId);
      refuseUnknown(turn, claim.requestId, "key-already-claimed");
    }
  }

  #grant(claim: Claim, version: number, turn: Turn): void {
    claim.version = version;
    if (claim.expiresAtMs > turn.nowMs) {
      turn.actions.push({ type: "claimed", requestId: claim.requestId });
    } else {
      this.#abandon(claim, turn);
    }
  }

  /** Reads a row back after a write whose answer was lost. */
  #check(claim: Claim, turn: Turn): void {
    const operationId = this.#nextOperation++;
    this.#operations.set(operationId, { type: "check", claim });
    turn.actions.push({ type: "read", operationId, key: claim.tableKey });
  }

  #applyRead(operationId: number, result: ReadResult, turn: Turn): void {
    const operation = this.#operations.get(operationId);
    if (operation?.type !== "check") {
      this.#releases.applyRead(operationId, result, turn.nowMs);
      return;
    }
    this.#operations.delete(operationId);
    const { claim } = operation;
    const row = result.type === "rows" ? result.rows[0] : undefined;
    if (row === undefined) {
      this.#abandon(claim, turn);
    } else if (row.value === null) {
      // The same row again: if the first write is late, it is still ours.
      this.#queue.unshift(claim);
      this.#sendAtMs = turn.nowMs;
    } else {
      this.#settle(claim, row, turn);
    }
  }
}

function refuseNotRun(
  turn: Turn,
  requestId: string,
  reason: NotRunReason,
): void {
  const outcome = { type: "not-run", reason } as const;
  turn.actions.push({ type: "refused", requestId, outcome });
}

function refuseUnknown(
  turn: Turn,
  requestId: string,
  reason: UnknownReason,
): void {
  const outcome = { type: "unknown", reason } as const;
  turn.actions.push({ type: "refused", requestId, outcome });
}
