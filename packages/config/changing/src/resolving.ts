/**
 * Resolves what became of a change from the answer of the table.
 *
 * @module
 */
import type {
  PlatformDocument,
  TableRow,
  TeamDocument,
  TransactResult,
} from "@dotterelmoor/core.types";
import type { BuiltChange } from "./built_change.ts";
import type {
  ChangeAlreadyApplied,
  ChangeConflict,
  ChangeRefused,
  ChangeResolution,
} from "./resolution.ts";
import { describeDifferences } from "./differences.ts";
import { getRowValue, makeChangeKey } from "./rows.ts";
import type { ChangeRowValue, DocumentRowValue } from "./rows.ts";

/** Resolves the answer of the table to a change. */
export function resolveSubmission(
  result: TransactResult,
  change: BuiltChange,
): ChangeResolution {
  if (result.type === "unavailable") return { type: "unknown" };
  if (result.type === "committed") {
    return { type: "committed", sequence: change.sequence };
  }
  const rows = new Map(result.rows.map((row) => [row.key, row]));
  const applied = findApplied(rows.get(makeChangeKey(change.changeId)), change);
  if (applied !== undefined) return applied;
  const { target } = change.rows;
  const winner = rows.get(target.key);
  return change.document !== undefined && winner !== undefined &&
      winner.version !== target.version
    ? makeConflict(winner, change.document)
    : { type: "retry" };
}

/** Tells a repeat of an applied change from another use of its id. */
export function findApplied(
  row: TableRow | undefined,
  change: Pick<BuiltChange, "digest" | "changeId">,
): ChangeAlreadyApplied | ChangeRefused | undefined {
  const applied = row && getRowValue<ChangeRowValue>(row);
  if (applied === undefined) return undefined;
  if (applied.digest === change.digest) {
    return { type: "already-applied", sequence: applied.sequence };
  }
  return {
    type: "refused",
    error: {
      code: "change-id-reused",
      message: `Change id ${change.changeId} belongs to change ` +
        `${applied.sequence} of ${applied.kind} ${applied.subject}`,
      hint: "Submit with a new change id",
    },
  };
}

/** Describes the version in force to the submitter of another one. */
export function makeConflict(
  row: TableRow,
  document: TeamDocument | PlatformDocument,
): ChangeConflict {
  const winner = getRowValue<DocumentRowValue>(row);
  return {
    type: "conflict",
    version: winner?.version ?? 0,
    who: winner?.who ?? "",
    whenMs: winner?.whenMs ?? 0,
    differences: describeDifferences(winner?.document, document),
  };
}
