/**
 * Reads recent changes from audit rows.
 *
 * @module
 */
import {
  CURRENT_KEY,
  getRowValue,
  getSequence,
  makeAuditPrefix,
} from "@dotterelmoor/config.changing";
import type { AuditRowValue, TableReader } from "@dotterelmoor/config.changing";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { History, HistoryOptions } from "./operator_actions.ts";
import { makeChangeError } from "./operator_error.ts";
import type { OperatorError } from "./operator_error.ts";

/** Number of audit rows that share a key prefix. */
const BLOCK_SIZE = 100;

/** Blocks read per request; limits the search for a team with few changes. */
const MAX_BLOCKS = 10;

/** Reads the wanted changes, newest first. */
export async function loadHistory(
  table: TableReader,
  options: HistoryOptions,
): Promise<Result<History, OperatorError>> {
  const current = await table.read(CURRENT_KEY);
  if (current.type !== "rows") return Err(makeReadError());
  const row = current.rows[0];
  const newest = row === undefined ? 0 : getSequence(row);
  const changes: AuditRowValue[] = [];
  let block = Math.floor(newest / BLOCK_SIZE);
  for (let count = 0; count < MAX_BLOCKS && block >= 0; count++, block--) {
    const result = await table.list(makeAuditPrefix(block * BLOCK_SIZE));
    if (result.type !== "rows") return Err(makeReadError());
    for (const audit of result.rows.toReversed()) {
      const change = getRowValue<AuditRowValue>(audit);
      if (change === undefined || !options.isWanted(change)) continue;
      if (changes.length === options.limit) {
        return Ok({ changes, complete: false });
      }
      changes.push(change);
    }
  }
  return Ok({ changes, complete: block < 0 });
}

/** Creates the error for a read that the table does not answer. */
export function makeReadError(): OperatorError {
  return makeChangeError({
    code: "store-unavailable",
    message: "The platform's table does not answer",
    hint: "Try again when the store answers; the last version stays in force",
  });
}
