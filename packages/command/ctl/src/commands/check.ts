/**
 * Checks a document without an entry.
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

export const help = "Check a document offline and print all of its errors";

export const flags = {
  platform: {
    type: "string",
    describe: "File of the platform's document, for regions and limits",
    requiresArg: true,
  },
  with: {
    type: "array",
    string: true,
    describe: "Files of other teams' documents, for services and link shares",
    requiresArg: true,
  },
} as const satisfies CtlCommand["flags"];

export const examples: CtlCommand["examples"] = [
  ["check availdesk.yaml", "Check the shape of a document"],
  [
    "check availdesk.yaml --platform platform.yaml --with holdkeeper.yaml",
    "Check it against the documents of the platform and of another team",
  ],
];

/** Runs the subcommand. */
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
