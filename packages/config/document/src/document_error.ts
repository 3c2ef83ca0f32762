/**
 * Errors of documents, with their position in the text, and their formatting.
 *
 * @module
 */
import type { CodedError } from "@dotterelmoor/core.types";

/** Codes of document errors. */
export type DocumentErrorCode =
  | "deadline-above-limit"
  | "duplicate-name"
  | "key-duplicate"
  | "key-missing"
  | "key-unknown"
  | "limit-exceeded"
  | "link-oversubscribed"
  | "region-unknown"
  | "service-owned-elsewhere"
  | "syntax"
  | "value-invalid";

/** An error at a position in a document. */
export interface DocumentError extends CodedError {
  readonly code: DocumentErrorCode;
  readonly file: string;
  /** Line from 1; 0 if the text of the document is not available. */
  readonly line: number;
  /** Column from 1; 0 if the text of the document is not available. */
  readonly column: number;
  /** Path of the key, such as `services[0].shift.cap`; empty for the root. */
  readonly key: string;
  readonly found: string;
  readonly expected: string;
}

/** Formats errors as text, two lines per error. */
export function formatDocumentErrors(
  errors: readonly DocumentError[],
): string {
  return errors.map((error) => {
    const place = error.line > 0
      ? `${error.file}:${error.line}:${error.column}`
      : error.file;
    const key = error.key === "" ? "document" : error.key;
    return `${place}: ${key}: found ${error.found}, expected ${error.expected}` +
      ` (${error.code})\n  hint: ${error.hint}`;
  }).join("\n");
}
