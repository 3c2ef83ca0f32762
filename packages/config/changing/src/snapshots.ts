/**
 * Consistent reads of the configuration's rows, and snapshots built from them.
 *
 * @module
 */
import type {
  ConfigurationSnapshot,
  PlatformDocument,
  ReadResult,
  TableRow,
  TeamDocument,
} from "@dotterelmoor/core.types";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import {
  CURRENT_KEY,
  getRowValue,
  getSequence,
  makeDocumentKey,
  PLATFORM_TEAM,
} from "./rows.ts";
import type {
  ChangeError,
  ConfigurationRows,
  DocumentRowValue,
} from "./rows.ts";

/** Read operations of the platform's table. */
export interface TableReader {
  /** Reads one row; an absent row has version 0. */
  read(key: string): Promise<ReadResult>;
  /** Reads every row whose key begins with the prefix, sorted by key. */
  list(prefix: string): Promise<ReadResult>;
}

/** Attempts at a consistent read; one fails only if a change commits meanwhile. */
const MAX_READ_ATTEMPTS = 5;

/** Used until the platform's document is first submitted. */
const EMPTY_PLATFORM: PlatformDocument = {
  regions: [],
  links: [],
  clientBlocks: [],
  limits: { maxDeadlineMs: 6_000, maxConcurrency: 1, maxShiftCap: 1 },
};

/** Builds a snapshot from rows; fails with `row-malformed`. */
export function buildSnapshot(
  rows: ConfigurationRows,
): Result<ConfigurationSnapshot, ChangeError> {
  const malformed = [rows.current, ...rows.documents, ...rows.drains]
    .find((row) => !isWellFormed(row));
  if (malformed !== undefined) return Err(makeRowError(malformed.key));
  const platform = getPlatform(rows.documents);
  const teams = rows.documents
    .map((row) => getRowValue<DocumentRowValue>(row)!)
    .filter((value) => value.team !== PLATFORM_TEAM)
    .map((value) => [value.team, value.document as TeamDocument]);
  return Ok({
    sequence: getSequence(rows.current),
    platform,
    teams: Object.fromEntries(teams),
    drains: rows.drains.map((row) => row.key.slice("drains/".length)),
  });
}

/**
 * Returns the platform's document from the rows of documents, or an empty one
 * if none was submitted yet.
 */
export function getPlatform(documents: readonly TableRow[]): PlatformDocument {
  const key = makeDocumentKey(PLATFORM_TEAM);
  const row = documents.find((candidate) => candidate.key === key);
  const value = row && getRowValue<DocumentRowValue>(row);
  return value === undefined
    ? EMPTY_PLATFORM
    : value.document as PlatformDocument;
}

function isWellFormed(row: TableRow): boolean {
  if (row.key === CURRENT_KEY) {
    return row.value === null || Number.isSafeInteger(row.value);
  }
  if (!row.key.startsWith("documents/")) return row.value !== null;
  const value = row.value as Partial<DocumentRowValue> | null;
  const document = value?.document as
    | Partial<TeamDocument & PlatformDocument>
    | undefined;
  if (row.key !== makeDocumentKey(String(value?.team))) return false;
  return value?.team === PLATFORM_TEAM
    ? Array.isArray(document?.regions)
    : Array.isArray(document?.services);
}

function makeRowError(key: string): ChangeError {
  return {
    code: "row-malformed",
    message: `Row ${key} has a value that this version cannot read`,
    hint: "Check which program wrote the row; the last version stays in force",
  };
}

/** Makes the error for a table that does not respond. */
export function makeStoreError(): ChangeError {
  return {
    code: "store-unavailable",
    message: "The platform's table does not answer",
    hint: "Try again when the store answers; the last version stays in force",
  };
}

/**
 * Reads all rows of the configuration at one sequence number. Fails with
 * `store-unavailable`, or with `read-unstable` when changes keep interfering.
 */
export async function loadConfigurationRows(
  reader: TableReader,
): Promise<Result<ConfigurationRows, ChangeError>> {
  for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
    const before = await reader.read(CURRENT_KEY);
    const documents = await reader.list("documents/");
    const drains = await reader.list("drains/");
    const after = await reader.read(CURRENT_KEY);
    if (
      before.type !== "rows" || documents.type !== "rows" ||
      drains.type !== "rows" || after.type !== "rows"
    ) return Err(makeStoreError());
    const current = before.rows[0] ?? makeAbsentRow(CURRENT_KEY);
    // Every change to these rows also writes config/current, so an unchanged
    // version means that the reads in between are consistent.
    if ((after.rows[0]?.version ?? 0) === current.version) {
      return Ok({ current, documents: documents.rows, drains: drains.rows });
    }
  }
  return Err({
    code: "read-unstable",
    message:
      `The configuration changed during each of ${MAX_READ_ATTEMPTS} reads`,
    hint: "Try again",
  });
}

/** Makes the representation of a row that is not in the table. */
export function makeAbsentRow(key: string): TableRow {
  return { key, version: 0, value: null };
}

/** Reads the configuration's rows consistently and builds a snapshot. */
export async function loadSnapshot(
  reader: TableReader,
): Promise<Result<ConfigurationSnapshot, ChangeError>> {
  const rows = await loadConfigurationRows(reader);
  return rows.andThen(buildSnapshot);
}
