/**
 * Findings of checks, which have a path in the document but no position in its
 * text yet, and helpers to make them.
 *
 * @module
 */
import type { DocumentErrorCode } from "./document_error.ts";

/** Path of a value: keys of maps and indexes of lists, from the root. */
export type ValuePath = readonly (string | number)[];

/** An error at a path in a document. */
export interface Finding {
  readonly code: DocumentErrorCode;
  readonly path: ValuePath;
  readonly found: string;
  readonly expected: string;
  readonly hint: string;
  /** True to report the position of the key instead of that of its value. */
  readonly atKey?: boolean;
}

/** Maximum length of a value rendered in an error, in characters. */
const MAX_FOUND_LENGTH = 80;

/** Renders a value of a document as JSON for an error; truncates long ones. */
export function describeValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(value) ?? String(value);
  return text.length <= MAX_FOUND_LENGTH
    ? text
    : `${text.slice(0, MAX_FOUND_LENGTH)}...`;
}

/** Formats a path, such as `services[0].shift.cap`. */
export function formatPath(path: ValuePath): string {
  return path.map((part, index) =>
    typeof part === "number" ? `[${part}]` : index === 0 ? part : `.${part}`
  ).join("");
}

/** Returns the value at a path; undefined if there is none. */
export function getValueAt(root: unknown, path: ValuePath): unknown {
  let value = root;
  for (const part of path) {
    if (typeof value !== "object" || value === null) return undefined;
    value = Object.hasOwn(value, part)
      ? (value as Record<string | number, unknown>)[part]
      : undefined;
  }
  return value;
}

/** Lists the elements of a list that are maps, with their indexes. */
export function listRecords(
  value: unknown,
): { readonly index: number; readonly record: Record<string, unknown> }[] {
  if (!Array.isArray(value)) return [];
  return value.flatMap((record, index) =>
    typeof record === "object" && record !== null && !Array.isArray(record)
      ? [{ index, record: record as Record<string, unknown> }]
      : []
  );
}

/** Lists the elements of a list that are strings, with their indexes. */
export function listStrings(
  value: unknown,
): { readonly index: number; readonly text: string }[] {
  if (!Array.isArray(value)) return [];
  return value.flatMap((text, index) =>
    typeof text === "string" ? [{ index, text }] : []
  );
}

/** Finds texts that occur more than once; reports all but the first. */
export function findDuplicates(
  values: readonly { readonly path: ValuePath; readonly text: string }[],
  what: string,
): Finding[] {
  const seen = new Set<string>();
  return values.flatMap(({ path, text }) => {
    if (!seen.has(text)) {
      seen.add(text);
      return [];
    }
    return [{
      code: "duplicate-name" as const,
      path,
      found: describeValue(text),
      expected: `a ${what} that appears once`,
      hint: `Rename or remove one of the two entries of ${text}`,
    }];
  });
}
