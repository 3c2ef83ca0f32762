/**
 * Applies a change to the table: reads the rows, builds the transaction, sends
 * it, and retries.
 *
 * @module
 */
import type {
  TableRow,
  TableTransaction,
  TransactResult,
} from "@dotterelmoor/core.types";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { BuildRefusal, BuiltChange } from "./built_change.ts";
import { resolveSubmission } from "./resolving.ts";
import type {
  ChangeAlreadyApplied,
  ChangeCommitted,
  ChangeRefused,
  ChangeUnknown,
} from "./resolution.ts";
import { makeChangeKey } from "./rows.ts";
import type { ChangeError, ChangeRows, ConfigurationRows } from "./rows.ts";
import {
  loadConfigurationRows,
  makeAbsentRow,
  makeStoreError,
} from "./snapshots.ts";
import type { TableReader } from "./snapshots.ts";

/** Read and write operations of the platform's table. */
export interface ChangeTable extends TableReader {
  /** Commits all writes if every checked row has the given version. */
  transact(transaction: TableTransaction): Promise<TransactResult>;
}

/** Options of `applyChange`. */
export interface ApplyChangeOptions<Refusal extends { readonly type: string }> {
  readonly changeId: string;
  /** Key of the row that the change modifies. */
  readonly targetKey: string;
  /**
   * Builds the change from freshly read rows. Called again, with new rows, after
   * a conflict and after a transaction without a response.
   */
  readonly build: (
    rows: ChangeRows,
    configuration: ConfigurationRows,
  ) => Result<BuiltChange, Refusal>;
}

/** Attempts before giving up; of competing changes, one always commits. */
const MAX_ATTEMPTS = 20;

/** Transactions without a response before the outcome is reported as unknown. */
const MAX_UNANSWERED = 2;

/**
 * Applies a change at most once. The result `unknown` means that the change may
 * still take effect; apply it again with the same change id.
 */
export async function applyChange<
  Refusal extends { readonly type: string } = BuildRefusal,
>(
  table: ChangeTable,
  options: ApplyChangeOptions<Refusal>,
): Promise<
  | ChangeCommitted
  | ChangeAlreadyApplied
  | ChangeUnknown
  | ChangeRefused
  | Refusal
> {
  let unanswered = 0;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const read = await readRows(table, options);
    if (read.isErr()) {
      return unanswered > 0
        ? { type: "unknown" }
        : { type: "refused", error: read.error };
    }
    // A refusal is final even after a transaction without a response: the rows
    // that the transaction checks have changed, so it can no longer commit.
    const built = options.build(read.value.rows, read.value.configuration);
    if (built.isErr()) return built.error;
    const result = await table.transact(built.value.transaction);
    const resolution = resolveSubmission(result, built.value);
    // Build again after a conflict too: the new rows also show whether an
    // earlier attempt with this change id was committed.
    if (resolution.type === "conflict" || resolution.type === "retry") continue;
    if (resolution.type !== "unknown") return resolution;
    unanswered++;
    if (unanswered >= MAX_UNANSWERED) break;
  }
  if (unanswered > 0) return { type: "unknown" };
  return {
    type: "refused",
    error: {
      code: "read-unstable",
      message: `Concurrent changes prevented ${MAX_ATTEMPTS} attempts`,
      hint: "Try again",
    },
  };
}

interface ReadRows {
  readonly rows: ChangeRows;
  readonly configuration: ConfigurationRows;
}

async function readRows(
  table: TableReader,
  options: { readonly changeId: string; readonly targetKey: string },
): Promise<Result<ReadRows, ChangeError>> {
  const loaded = await loadConfigurationRows(table);
  if (loaded.isErr()) return loaded;
  const target = await readRow(table, options.targetKey);
  // Read last: if the other rows show the effect of this change, then so does
  // the row of its change id.
  const change = await readRow(table, makeChangeKey(options.changeId));
  if (target === undefined || change === undefined) {
    return Err(makeStoreError());
  }
  return Ok({
    rows: { current: loaded.value.current, target, change },
    configuration: loaded.value,
  });
}

async function readRow(
  table: TableReader,
  key: string,
): Promise<TableRow | undefined> {
  const result = await table.read(key);
  if (result.type !== "rows") return undefined;
  return result.rows[0] ?? makeAbsentRow(key);
}
