/**
 * Exit codes of the command line.
 *
 * @module
 */
import type { OperatorErrorCode } from "@dotterelmoor/daemon.operating";

/** Exit codes by meaning. */
export const EXIT_CODES = {
  ok: 0,
  refused: 1,
  usageError: 2,
  conflict: 3,
  unreachable: 4,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];

/** Error codes of the operators' interface, and of the client that calls it. */
export type FailureCode =
  | OperatorErrorCode
  | "answer-invalid"
  | "answer-lost"
  | "unreachable";

const FAILURE_EXIT_CODES: Record<FailureCode, ExitCode> = {
  "answer-invalid": EXIT_CODES.unreachable,
  "answer-lost": EXIT_CODES.unreachable,
  "body-too-large": EXIT_CODES.refused,
  "change-id-reused": EXIT_CODES.refused,
  "conflict": EXIT_CODES.conflict,
  "document-invalid": EXIT_CODES.refused,
  "forbidden": EXIT_CODES.refused,
  "internal": EXIT_CODES.unreachable,
  "method-unknown": EXIT_CODES.refused,
  "not-found": EXIT_CODES.refused,
  "outcome-unknown": EXIT_CODES.unreachable,
  "request-invalid": EXIT_CODES.usageError,
  "store-unavailable": EXIT_CODES.unreachable,
  "token-invalid": EXIT_CODES.refused,
  "unreachable": EXIT_CODES.unreachable,
};

/** Returns the exit code for a failure, `unreachable` for an unknown code. */
export function getExitCode(code: FailureCode): ExitCode {
  return FAILURE_EXIT_CODES[code] ?? EXIT_CODES.unreachable;
}

/** Help text that lists the exit codes. */
export const EXIT_CODE_HELP = [
  "Exit codes:",
  "  0  done",
  "  1  refused: the document, the token or the request",
  "  2  invalid usage or settings",
  "  3  conflict: another change was accepted first",
  "  4  entry unreachable, or outcome unknown",
].join("\n");
