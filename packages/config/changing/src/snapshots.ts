/**
 * Reads the rows of the configuration consistently and builds snapshots.
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

/** Attempts of a consistent read; each one fails only when a change lands. */
const MAX_READ_ATTEMPTS = 5;

/** In force until the platform's document is first submitted. */
const EMPTY_PLATFORM: PlatformDocument = {
  regions: [],
  links: [],
  clientBlocks: [],
  limits: { maxDeadlineMs: 6_000, maxConcurrency: 1, maxShiftCap: 1 },
};

/** Builds the snapshot that the rows hold. */
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

/** Platform's document among the rows of documents. */
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
    message: `Row ${key} has no value that this version understands`,
    hint: "Check which program wrote the row; keep the last snapshot",
  };
}

/** Error for a table that does not answer. */
export function makeStoreError(): ChangeError {
  return {
    code: "store-unavailable",
    message: "The platform's table does not answer",
    hint: "Try again when the store answers; the last version stays in force",
  };
}

/** Reads all rows of the configuration at one sequence number. */
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
    // Every change of these rows also writes config/current.
    if ((after.rows[0]?.version ?? 0) === current.version) {
      return Ok({ current, documents: documents.rows, drains: drains.rows });
    }
  }
  return Err({
    code: "read-unstable",
    message: `The configuration changed during ${MAX_READ_ATTEMPTS} reads`,
    hint: "Try again",
  });
}

/** A row that is not in the table. */
export function makeAbsentRow(key: string): TableRow {
  return { key, version: 0, value: null };
}

/** Reads the rows consistently and builds the snapshot that they hold. */
export async function loadSnapshot(
  reader: TableReader,
): Promise<Result<ConfigurationSnapshot, ChangeError>> {
  const rows = await loadConfigurationRows(reader);
  return rows.andThen(buildSnapshot);
}
