/**
 * Shape checks of what clients send to the stand-in platform.
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

/** Tells whether a body is a transaction. */
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

/** Tells whether a body is a list of instances. */
export function isInstanceList(value: unknown): value is ListedInstance[] {
  return Array.isArray(value) && value.every(isInstance);
}

/** Tells whether a body sets known faults only, each with its type. */
export function isPartOf<T extends object>(
  value: unknown,
  example: T,
): value is Partial<T> {
  return isRecord(value) &&
    Object.entries(value).every(([name, part]) =>
      name in example &&
      typeof part === typeof (example as Record<string, unknown>)[name]
    );
}
