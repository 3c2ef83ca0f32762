/**
 * Reads the rows of the configuration consistently and builds snapshots.
 *
 * @module
 */
import type {
  ConfigurationSnapshot,
  ReadResult,
} from "@dotterelmoor/core.types";
import type { Result } from "ts-results-es";
import type { ChangeError, ConfigurationRows } from "./rows.ts";

/** Read operations of the platform's table. */
export interface TableReader {
  /** Reads one row; an absent row has version 0. */
  read(key: string): Promise<ReadResult>;
  /** Reads every row whose key begins with the prefix, sorted by key. */
  list(prefix: string): Promise<ReadResult>;
}

/** Builds the snapshot that the rows hold. */
export function buildSnapshot(
  _rows: ConfigurationRows,
): Result<ConfigurationSnapshot, ChangeError> {
  throw new Error("Not implemented");
}

/** Reads all rows of the configuration at one sequence number. */
export function loadConfigurationRows(
  _reader: TableReader,
): Promise<Result<ConfigurationRows, ChangeError>> {
  throw new Error("Not implemented");
}

/** Reads the rows consistently and builds the snapshot that they hold. */
export function loadSnapshot(
  _reader: TableReader,
): Promise<Result<ConfigurationSnapshot, ChangeError>> {
  throw new Error("Not implemented");
}
