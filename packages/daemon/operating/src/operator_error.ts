/**
 * Errors of the operators' interface.
 *
 * @module
 */
import type {
  ChangeConflict,
  ChangeError,
} from "@dotterelmoor/config.changing";
import type { DocumentError } from "@dotterelmoor/config.document";
import type { CodedError } from "@dotterelmoor/core.types";

/** HTTP status of each error code. */
export const ERROR_STATUS = {
  "body-too-large": 413,
  "change-id-reused": 409,
  "conflict": 409,
  "document-invalid": 422,
  "forbidden": 403,
  "internal": 500,
  "method-unknown": 405,
  "not-found": 404,
  "outcome-unknown": 504,
  "request-invalid": 400,
  "store-unavailable": 503,
  "token-invalid": 401,
} as const;

/** Codes of errors in answers to operators. */
export type OperatorErrorCode = keyof typeof ERROR_STATUS;

/** Error answer of the operators' interface. */
export interface OperatorError extends CodedError {
  readonly code: OperatorErrorCode;
  /** Errors in the document, if the code is `document-invalid`. */
  readonly errors?: readonly DocumentError[];
  /** Version in force and its differences, if the code is `conflict`. */
  readonly winner?: {
    readonly version: number;
    readonly who: string;
    readonly whenMs: number;
    readonly differences: readonly string[];
  };
}

const CHANGE_ERROR_CODES: Record<ChangeError["code"], OperatorErrorCode> = {
  "change-id-reused": "change-id-reused",
  "not-found": "not-found",
  "read-unstable": "store-unavailable",
  "row-malformed": "internal",
  "store-unavailable": "store-unavailable",
};

/** Converts an error of a change to the table. */
export function makeChangeError(error: ChangeError): OperatorError {
  const { code, message, hint } = error;
  return { code: CHANGE_ERROR_CODES[code], message, hint };
}

/** Creates the error for a submission that lost to a concurrent change. */
export function makeConflictError(conflict: ChangeConflict): OperatorError {
  const { version, who, whenMs, differences } = conflict;
  return {
    code: "conflict",
    message: version === 0
      ? "The document does not exist, but editedFrom refers to a version"
      : `Version ${version} by ${who} is in force`,
    hint: "Read the version in force, apply your edit to it and submit again",
    winner: { version, who, whenMs, differences },
  };
}

/** Creates the error for a change that may or may not have been applied. */
export function makeOutcomeUnknownError(changeId: string): OperatorError {
  return {
    code: "outcome-unknown",
    message: `The table did not confirm whether change ${changeId} was applied`,
    hint: "Submit again with the same change id; it is applied once",
  };
}

/** Creates the error for an invalid document. */
export function makeInvalidDocumentError(
  errors: readonly DocumentError[],
): OperatorError {
  return {
    code: "document-invalid",
    message: `The document has ${errors.length} ` +
      (errors.length === 1 ? "error" : "errors"),
    hint: "Correct every error and submit again",
    errors,
  };
}

/** Creates the error for a malformed request. */
export function makeRequestError(message: string, hint: string): OperatorError {
  return { code: "request-invalid", message, hint };
}

/** Creates the error for something that does not exist. */
export function makeNotFoundError(what: string): OperatorError {
  return {
    code: "not-found",
    message: `There is no ${what}`,
    hint: "List what exists and check the name",
  };
}

/** Creates the error for a token that does not permit the request. */
export function makeForbiddenError(needed: string): OperatorError {
  return {
    code: "forbidden",
    message: `The request requires a token with ${needed}`,
    hint: "Use a token of the owning team with the required role",
  };
}
