/**
 * Determines the outcome of a change from the table's response.
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

/** Determines the outcome of a change from the table's response to it. */
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
  const latest = rows.get(target.key);
  return change.document !== undefined && latest !== undefined &&
      latest.version !== target.version
    ? makeConflict(latest, change.document)
    : { type: "retry" };
}

/**
 * Checks whether a change id was used before: `already-applied` for the same
 * change, `refused` for a different one; undefined when the id is unused.
 */
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
      message: `Change id ${change.changeId} was already used by change ` +
        `${applied.sequence} (${applied.kind} ${applied.subject})`,
      hint: "Submit with a new change id",
    },
  };
}

/** Makes the conflict between the current version and a submitted document. */
export function makeConflict(
  row: TableRow,
  document: TeamDocument | PlatformDocument,
): ChangeConflict {
  const latest = getRowValue<DocumentRowValue>(row);
  return {
    type: "conflict",
    version: latest?.version ?? 0,
    who: latest?.who ?? "",
    whenMs: latest?.whenMs ?? 0,
    differences: describeDifferences(latest?.document, document),
  };
}
