/**
 * Parses the platform's responses; undefined means malformed.
 *
 * @module
 */

import type {
  JsonValue,
  ListedInstance,
  TableRow,
} from "@dotterelmoor/core.types";

/** A JSON object whose fields have not been checked yet. */
export type JsonRecord = Readonly<Record<string, unknown>>;

/** Returns whether a value is a JSON object. */
export function isRecord(value: unknown): value is JsonRecord {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Parses one row. */
export function parseRow(value: unknown): TableRow | undefined {
  if (!isRecord(value)) return undefined;
  const { key, version } = value;
  if (typeof key !== "string" || !isCount(version)) return undefined;
  return { key, version, value: (value.value ?? null) as JsonValue };
}

/** Parses a list of rows. */
export function parseRows(value: unknown): TableRow[] | undefined {
  return parseList(value, parseRow);
}

/** Parses the response to a committed transaction: versions by row key. */
export function parseVersions(
  value: JsonRecord,
): Record<string, number> | undefined {
  const { committed, versions } = value;
  if (committed !== true || !isRecord(versions)) return undefined;
  return Object.values(versions).every(isCount)
    ? versions as Record<string, number>
    : undefined;
}

/** Parses the instance list. */
export function parseInstances(
  value: JsonRecord,
): ListedInstance[] | undefined {
  return parseList(value.instances, parseInstance);
}

function parseInstance(value: unknown): ListedInstance | undefined {
  if (!isRecord(value)) return undefined;
  const { id, service, address, region, zone, state } = value;
  const { slots, connections } = value;
  if (
    typeof id !== "string" || typeof service !== "string" ||
    typeof address !== "string" || typeof region !== "string" ||
    typeof zone !== "string" || (state !== "live" && state !== "leaving") ||
    !isCount(slots) || !isCount(connections)
  ) return undefined;
  return { id, service, address, region, zone, state, slots, connections };
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function parseList<T>(
  value: unknown,
  parseItem: (item: unknown) => T | undefined,
): T[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const items: T[] = [];
  for (const part of value) {
    const item = parseItem(part);
    if (item === undefined) return undefined;
    items.push(item);
  }
  return items;
}
