/**
 * Table rows of claims.
 *
 * @module
 */

import type { JsonValue, TableRow } from "@dotterelmoor/core.types";

/** A claim on an idempotency key; the row is absent while nobody holds it. */
export interface ClaimRow {
  readonly incarnation: number;
  /** Number of the claim in its incarnation; tells own writes apart. */
  readonly sequence: number;
  readonly fingerprint: string;
}

/** Builds the table key of a claim. */
export function buildClaimKey(service: string, key: string): string {
  return `claims/${service}/${encodeURIComponent(key)}`;
}

/** Turns a claim into a table value. */
export function encodeClaim(row: ClaimRow): JsonValue {
  return { ...row };
}

/** Tells whether a row was written by a claim itself. */
export function isOwnRow(row: TableRow, claim: ClaimRow): boolean {
  const found = row.value as unknown as ClaimRow | null;
  return found !== null && found.incarnation === claim.incarnation &&
    found.sequence === claim.sequence;
}
