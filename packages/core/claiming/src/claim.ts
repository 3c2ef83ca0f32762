/**
 * Claim of one request on one key.
 *
 * @module
 */

import type { TableRow, TableWrite } from "@dotterelmoor/core.types";
import type { ClaimsEvent } from "./types.ts";

/**
 * State of a claim.
 *
 * - `pending`: the request waits until the row is inserted.
 * - `granted`: the row is in the table and the request may run.
 * - `abandoned`: the request was refused, but the row may still appear.
 * - `releasing`: the row is being removed.
 * - `settled`: the claim needs no further operation.
 */
export type ClaimState =
  | "pending"
  | "granted"
  | "abandoned"
  | "releasing"
  | "settled";

/** A claim and the state of its row. */
export interface Claim {
  readonly requestId: string;
  readonly rowKey: string;
  readonly fingerprint: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly expiresAtMs: number;
  /** Tokens of the rows that count as written for this claim. */
  readonly tokens: Set<string>;
  state: ClaimState;
  version: number;
  attempts: number;
  rechecks: number;
  /** True once a write got no answer, so that it may take effect later. */
  isUncertain: boolean;
  /** Time at which the next operation is due. */
  dueMs: number;
}

/** Creates a pending claim. */
export function makeClaim(
  event: Extract<ClaimsEvent, { type: "claim" }>,
  numbers: { incarnation: number; sequence: number; dueMs: number },
): Claim {
  const { incarnation, sequence } = numbers;
  return {
    requestId: event.requestId,
    rowKey: `claims/${event.service}/${event.key}`,
    fingerprint: event.fingerprint,
    ...numbers,
    expiresAtMs: event.expiresAtMs,
    tokens: new Set([makeToken(incarnation, sequence)]),
    state: "pending",
    version: 0,
    attempts: 0,
    rechecks: 0,
    isUncertain: false,
  };
}

/** Builds the write that inserts or removes the row of a claim. */
export function makeWrite(claim: Claim): TableWrite {
  const { rowKey: key, incarnation, sequence, fingerprint } = claim;
  return claim.state === "releasing" ? { key, value: null } : {
    key,
    value: { incarnation, sequence, fingerprint, state: "claimed" },
  };
}

/** Returns true if a row was written for this claim. */
export function isOwnRow(claim: Claim, row: TableRow): boolean {
  const value = row.value as { incarnation?: number; sequence?: number } | null;
  return claim.tokens.has(makeToken(value?.incarnation, value?.sequence));
}

function makeToken(incarnation?: number, sequence?: number): string {
  return `${incarnation}/${sequence}`;
}
