/**
 * The `check` subcommand: validates a document without contacting an entry.
 *
 * @module
 */
import type { CtlArguments, CtlCommand, CtlContext } from "../ctl_command.ts";
import { getString } from "../ctl_command.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import type { ExitCode } from "../exit_codes.ts";
import { loadLocalDocument } from "../local_documents.ts";
import { printFailure, printValue } from "../printing.ts";

export const names: CtlCommand["names"] = ["check <file>"];

export const help = "Validate a document offline and print all of its errors";

export const flags = {
  platform: {
    type: "string",
    describe: "Platform document to check regions and limits against",
    requiresArg: true,
  },
  with: {
    type: "array",
    string: true,
    describe:
      "Documents of other teams to check services and link shares against",
    requiresArg: true,
  },
} as const satisfies CtlCommand["flags"];

export const examples: CtlCommand["examples"] = [
  ["check availdesk.yaml", "Validate the structure of a document"],
  [
    "check availdesk.yaml --platform platform.yaml --with holdkeeper.yaml",
    "Also check it against the platform document and another team's",
  ],
];

/** Validates the document and prints the errors found. */
export function handler(
  args: CtlArguments,
  context: CtlContext,
): Promise<ExitCode> {
  const file = getString(args, "file");
  const teamFiles = (args.with ?? []) as readonly string[];
  const result = loadLocalDocument(context, {
    file,
    teamFiles,
    ...(args.platform === undefined
      ? {}
      : { platformFile: getString(args, "platform") }),
  });
  if (result.isErr()) {
    const errors = result.error;
    return Promise.resolve(printFailure(context, {
      code: "document-invalid",
      message: `${file} has ${errors.length} ` +
        (errors.length === 1 ? "error" : "errors"),
      hint: "Correct every error and check again",
      errors,
    }));
  }
  const { team } = result.value;
  printValue(context, { file, team, valid: true }, {
    text: `${file} is a valid document of ${team}`,
  });
  return Promise.resolve(EXIT_CODES.ok);
}
