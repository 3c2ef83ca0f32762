/**
 * Operations of the operators' interface that read or change the table.
 *
 * @module
 */
import {
  applyChange,
  buildDrain,
  buildLeaseRelease,
  buildQuarantineLift,
  buildSubmission,
  buildUndrain,
  findAppliedSubmission,
  getRowValue,
  loadConfigurationRows,
  makeDocumentKey,
  makeDrainKey,
  makeGroupKey,
  makeQuarantineKey,
} from "@dotterelmoor/config.changing";
import type {
  ApplyChangeOptions,
  BuildRefusal,
  BuiltChange,
  ChangeRows,
  ChangeTable,
  DocumentRowValue,
  DrainRowValue,
} from "@dotterelmoor/config.changing";
import type { DocumentError } from "@dotterelmoor/config.document";
import type { JsonValue } from "@dotterelmoor/core.types";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { checkSubmittedText } from "./document_checking.ts";
import { loadHistory, makeReadError } from "./history.ts";
import type {
  AcceptedChange,
  ConfigurationActions,
  DocumentDetails,
  DocumentSubmission,
  DocumentSummary,
  QuarantineRemoval,
} from "./operator_actions.ts";
import {
  makeChangeError,
  makeConflictError,
  makeInvalidDocumentError,
  makeNotFoundError,
  makeOutcomeUnknownError,
} from "./operator_error.ts";
import type { OperatorError } from "./operator_error.ts";

/** The platform's table, which holds the configuration. */
export type ConfigurationTable = ChangeTable;

/** Options of `createConfigurationActions`. */
export interface ConfigurationActionsOptions {
  readonly table: ConfigurationTable;
}

/** Creates the operations that read or change the table. */
export function createConfigurationActions(
  options: ConfigurationActionsOptions,
): ConfigurationActions {
  const { table } = options;
  return {
    listDocuments: () => loadDocuments(table),
    getDocument: (team) => loadDocument(table, team),
    checkDocument: (team, text) => checkDocument(table, { team, text }),
    submitDocument: (submission) => submitDocument(table, submission),
    listHistory: (wanted) => loadHistory(table, wanted),
    listDrains: () => loadDrains(table),
    setDrain: (instance, origin) =>
      submitChange(table, {
        changeId: origin.changeId,
        targetKey: makeDrainKey(instance),
        build: (rows) => buildDrain({ ...origin, rows, instance }),
      }),
    removeDrain: (instance, origin) =>
      submitChange(table, {
        changeId: origin.changeId,
        targetKey: makeDrainKey(instance),
        build: (rows) => buildUndrain({ ...origin, rows, instance }),
      }),
    removeQuarantine: (fingerprint, removal) =>
      submitChange(table, {
        changeId: removal.changeId,
        targetKey: makeQuarantineKey(fingerprint),
        build: (rows) => buildAuthorizedLift(rows, { ...removal, fingerprint }),
      }),
    releaseLease: (group, origin) =>
      submitChange(table, {
        changeId: origin.changeId,
        targetKey: makeGroupKey(group.service, group.region),
        build: (rows) => buildLeaseRelease({ ...origin, ...group, rows }),
      }),
  };
}

async function loadDocuments(
  table: ConfigurationTable,
): Promise<Result<DocumentSummary[], OperatorError>> {
  const result = await table.list("documents/");
  if (result.type !== "rows") return Err(makeReadError());
  return Ok(result.rows.flatMap((row) => {
    const value = getRowValue<DocumentRowValue>(row);
    return value === undefined ? [] : [makeSummary(value)];
  }));
}

async function loadDocument(
  table: ConfigurationTable,
  team: string,
): Promise<Result<DocumentDetails, OperatorError>> {
  const result = await table.read(makeDocumentKey(team));
  if (result.type !== "rows") return Err(makeReadError());
  const [row] = result.rows;
  const value = row && getRowValue<DocumentRowValue>(row);
  if (value === undefined) {
    return Err(makeNotFoundError(`document of team ${team}`));
  }
  return Ok({
    ...makeSummary(value),
    text: value.text,
    document: value.document as unknown as JsonValue,
  });
}

function makeSummary(value: DocumentRowValue): DocumentSummary {
  const { team, version, who, whenMs } = value;
  return { team, version, who, whenMs };
}

async function loadDrains(
  table: ConfigurationTable,
): Promise<Result<DrainRowValue[], OperatorError>> {
  const result = await table.list("drains/");
  if (result.type !== "rows") return Err(makeReadError());
  return Ok(result.rows.map((row) => getRowValue<DrainRowValue>(row)!));
}

async function checkDocument(
  table: ConfigurationTable,
  submitted: { readonly team: string; readonly text: string },
): Promise<Result<{ readonly version: number }, OperatorError>> {
  const rows = (await loadConfigurationRows(table)).mapErr(makeChangeError);
  return rows.andThen((configuration) =>
    checkSubmittedText(submitted, configuration)
      .mapErr(makeInvalidDocumentError)
      .map(() => {
        const key = makeDocumentKey(submitted.team);
        const row = configuration.documents.find((row) => row.key === key);
        const value = row && getRowValue<DocumentRowValue>(row);
        return { version: value?.version ?? 0 };
      })
  );
}

function submitDocument(
  table: ConfigurationTable,
  submission: DocumentSubmission,
): Promise<Result<AcceptedChange, OperatorError>> {
  return submitChange(table, {
    changeId: submission.changeId,
    targetKey: makeDocumentKey(submission.team),
    build: (rows, configuration) => {
      // A retry of an applied change is not checked against later documents.
      const repeat = findAppliedSubmission({ ...submission, rows });
      if (repeat !== undefined) return Err(repeat);
      // The transaction checks the sequence number, so that the result of this
      // check still holds when the change commits.
      return checkSubmittedText(submission, configuration)
        .mapErr((errors): Refusal => ({ type: "invalid", errors }))
        .andThen((document) =>
          buildSubmission({ ...submission, rows, document })
        );
    },
  });
}

function buildAuthorizedLift(
  rows: ChangeRows,
  options: QuarantineRemoval & { readonly fingerprint: string },
): Result<BuiltChange, Refusal> {
  const { checkService, ...lift } = options;
  // Without a row there is nothing to authorize: there is no such quarantine, or
  // the change is a retry, which must be answered as already applied.
  if (rows.target.value === null) return buildQuarantineLift({ ...lift, rows });
  const value = getRowValue<{ readonly service?: unknown }>(rows.target);
  const service = typeof value?.service === "string"
    ? value.service
    : undefined;
  return checkService(service)
    .mapErr((error): Refusal => ({ type: "forbidden", error }))
    .andThen((team) =>
      buildQuarantineLift({
        ...lift,
        rows,
        ...(team === undefined ? {} : { team }),
      })
    );
}

type Refusal =
  | BuildRefusal
  | { readonly type: "forbidden"; readonly error: OperatorError }
  | { readonly type: "invalid"; readonly errors: readonly DocumentError[] };

async function submitChange(
  table: ConfigurationTable,
  options: ApplyChangeOptions<Refusal>,
): Promise<Result<AcceptedChange, OperatorError>> {
  const outcome = await applyChange(table, options);
  switch (outcome.type) {
    case "committed":
      return Ok({ sequence: outcome.sequence, alreadyApplied: false });
    case "already-applied":
      return Ok({ sequence: outcome.sequence, alreadyApplied: true });
    case "conflict":
      return Err(makeConflictError(outcome));
    case "invalid":
      return Err(makeInvalidDocumentError(outcome.errors));
    case "refused":
      return Err(makeChangeError(outcome.error));
    case "forbidden":
      return Err(outcome.error);
    case "unknown":
      return Err(makeOutcomeUnknownError(options.changeId));
  }
}
