/**
 * Prints results and failures as text or JSON.
 *
 * @module
 */
import { formatDocumentErrors } from "@dotterelmoor/config.document";
import type { DocumentError } from "@dotterelmoor/config.document";
import { stringify } from "yaml";
import type { CtlContext } from "./ctl_command.ts";
import { getExitCode } from "./exit_codes.ts";
import type { ExitCode } from "./exit_codes.ts";
import type { OperatorFailure } from "./operator_client.ts";

/** Prints a value as JSON with `--json`, else as the given text or as YAML. */
export function printValue(
  context: Pick<CtlContext, "json" | "writeOut">,
  value: unknown,
  options: { readonly text?: string } = {},
): void {
  context.writeOut(
    context.json
      ? JSON.stringify(value, null, 2)
      : options.text ?? stringify(value).trimEnd(),
  );
}

/**
 * Prints a failure and returns its exit code. Document errors that carry
 * `file.name` are printed with `file.path` instead.
 */
export function printFailure(
  context: Pick<CtlContext, "json" | "writeError">,
  failure: OperatorFailure,
  options: {
    readonly file?:
      | { readonly path: string; readonly name: string }
      | undefined;
  } = {},
): ExitCode {
  const { file } = options;
  const errors = failure.errors?.map((error) =>
    error.file === file?.name ? { ...error, file: file.path } : error
  );
  context.writeError(
    context.json
      ? JSON.stringify({ ...failure, errors }, null, 2)
      : formatFailure(failure, errors ?? []),
  );
  return getExitCode(failure.code);
}

function formatFailure(
  failure: OperatorFailure,
  errors: readonly DocumentError[],
): string {
  const { code, message, hint, winner } = failure;
  return [
    `${message} (${code})`,
    ...(errors.length > 0 ? [formatDocumentErrors(errors)] : []),
    ...(winner === undefined ? [] : [
      `Version ${winner.version} by ${winner.who} at ` +
      `${new Date(winner.whenMs).toISOString()} differs from yours:`,
      ...winner.differences.map((line) => `  ${line}`),
    ]),
    `hint: ${hint}`,
  ].join("\n");
}

/** Renders rows as aligned columns, or `none` if there are no rows. */
export function renderTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  if (rows.length === 0) return "none";
  const cells = [headings, ...rows.map((row) => row.map(String))];
  const widths = headings.map((_, column) =>
    Math.max(...cells.map((row) => row[column]!.length))
  );
  return cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
  ).join("\n");
}
