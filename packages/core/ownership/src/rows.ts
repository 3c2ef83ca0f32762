/**
 * Table rows of sessions and resources.
 *
 * @module
 */

import type { JsonValue, TableTransaction } from "@dotterelmoor/core.types";
import type { OwnershipIdentity } from "./types.ts";

/** Key of the counter that numbers the sessions. */
export const COUNTER_KEY = "counters/incarnation";

/** Session of one process; a missing row means that the process gave it up. */
export interface SessionRow extends OwnershipIdentity {
  readonly incarnation: number;
  readonly state: "live" | "revoked";
  /** Sequence number of the write within its process. */
  readonly write: number;
  /** True once the platform's list has shown the instance. */
  readonly listed?: boolean;
}

/** Owner and deputy of a resource. */
export interface ResourceRow {
  /** Incarnation of the owner, 0 if an operator released the resource. */
  readonly owner: number;
  /** Incarnation of the deputy, 0 if there is none. */
  readonly deputy: number;
  /** Fencing token; grows with each change of owner. */
  readonly fence: number;
}

/** Returns the table key of a session. */
export function getSessionKey(incarnation: number): string {
  return `sessions/${incarnation}`;
}

/** Decodes a session row; returns undefined for a missing row. */
export function decodeSession(value: JsonValue): SessionRow | undefined {
  return value === null ? undefined : value as unknown as SessionRow;
}

/** Decodes a resource row; missing fields count as 0. */
export function decodeResource(value: JsonValue): ResourceRow {
  const row = (value ?? {}) as Partial<ResourceRow>;
  return {
    owner: row.owner ?? 0,
    deputy: row.deputy ?? 0,
    fence: row.fence ?? 0,
  };
}

/** Encodes a row as a table value. */
export function encodeRow(row: SessionRow | ResourceRow): JsonValue {
  return { ...row } as unknown as JsonValue;
}

/** Builds a transaction that replaces a row if it has the given version. */
export function buildReplacement(
  key: string,
  version: number,
  value: JsonValue,
): TableTransaction {
  return { checks: [{ key, version }], writes: [{ key, value }] };
}
