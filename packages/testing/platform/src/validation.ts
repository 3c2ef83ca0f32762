/**
 * Type guards for request bodies sent to the simulated platform.
 *
 * @module
 */

import type {
  ListedInstance,
  TableCheck,
  TableTransaction,
  TableWrite,
} from "@dotterelmoor/core.types";

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isCheck(value: unknown): value is TableCheck {
  return isRecord(value) && typeof value.key === "string" &&
    Number.isInteger(value.version);
}

function isWrite(value: unknown): value is TableWrite {
  return isRecord(value) && typeof value.key === "string" &&
    value.key !== "" && value.value !== undefined;
}

/** Returns true if the value is a valid transaction. */
export function isTransaction(value: unknown): value is TableTransaction {
  return isRecord(value) && Array.isArray(value.checks) &&
    value.checks.every(isCheck) && Array.isArray(value.writes) &&
    value.writes.every(isWrite);
}

function isInstance(value: unknown): value is ListedInstance {
  return isRecord(value) &&
    ["id", "service", "address", "region", "zone"].every((name) =>
      typeof value[name] === "string"
    ) && (value.state === "live" || value.state === "leaving") &&
    Number.isInteger(value.slots) && Number.isInteger(value.connections);
}

/** Returns true if the value is a valid list of instances. */
export function isInstanceList(value: unknown): value is ListedInstance[] {
  return Array.isArray(value) && value.every(isInstance);
}

/**
 * Returns true if every property of the value exists in `example` and has the
 * same type there.
 */
export function isPartialOf<T extends object>(
  value: unknown,
  example: T,
): value is Partial<T> {
  return isRecord(value) &&
    Object.entries(value).every(([name, part]) =>
      name in example &&
      typeof part === typeof (example as Record<string, unknown>)[name]
    );
}
