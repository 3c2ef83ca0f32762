/**
 * Table rows of sessions and resources.
 *
 * @module
 */

import type { JsonValue, TableTransaction } from "@dotterelmoor/core.types";
import type { OwnershipIdentity } from "./types.ts";

/** Key of the counter that numbers the sessions. */
export const COUNTER_KEY = "counters/incarnation";

/** Session of one process. An absent row means that its process gave it up. */
export interface SessionRow extends OwnershipIdentity {
  readonly incarnation: number;
  readonly state: "live" | "revoked";
  /** Number of the write in its process; tells own writes apart. */
  readonly write: number;
  /** True once the platform's list has shown the instance. */
  readonly listed?: boolean;
}

/** Owner of a resource. */
export interface ResourceRow {
  /** Incarnation of the owner, 0 if an operator released the resource. */
  readonly owner: number;
  /** Incarnation of the deputy, 0 if there is none. */
  readonly deputy: number;
  /** Grows with each change of owner. */
  readonly fence: number;
}

/** Returns the table key of a session. */
export function getSessionKey(incarnation: number): string {
  return `sessions/${incarnation}`;
}

/** Reads a session row, or undefined if it is absent. */
export function decodeSession(value: JsonValue): SessionRow | undefined {
  return value === null ? undefined : value as unknown as SessionRow;
}

/** Reads a resource row; missing fields count as 0. */
export function decodeResource(value: JsonValue): ResourceRow {
  const row = (value ?? {}) as Partial<ResourceRow>;
  return {
    owner: row.owner ?? 0,
    deputy: row.deputy ?? 0,
    fence: row.fence ?? 0,
  };
}

/** Turns a typed row into a table value. */
export function encodeRow(row: SessionRow | ResourceRow): JsonValue {
  return { ...row } as unknown as JsonValue;
}

/** Builds a transaction that replaces one row if it has the given version. */
export function buildReplacement(
  key: string,
  version: number,
  value: JsonValue,
): TableTransaction {
  return { checks: [{ key, version }], writes: [{ key, value }] };
}
