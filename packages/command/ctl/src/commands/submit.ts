/**
 * The `submit` subcommand: submits a document.
 *
 * @module
 */
import type { CtlArguments, CtlCommand, CtlContext } from "../ctl_command.ts";
import { getInteger, getString } from "../ctl_command.ts";
import type { ExitCode } from "../exit_codes.ts";
import { loadLocalDocument } from "../local_documents.ts";
import { printFailure } from "../printing.ts";
import { CHANGE_FLAGS, submitChange } from "../submitting.ts";

export const names: CtlCommand["names"] = ["submit <file>"];

export const help =
  "Submit a document, which is in force as soon as it is accepted";

export const flags = {
  "edited-from": {
    type: "string",
    describe: "Version the edit is based on, as printed by show; 0 if new",
    demandOption: true,
    requiresArg: true,
  },
  ...CHANGE_FLAGS,
} as const satisfies CtlCommand["flags"];

export const examples: CtlCommand["examples"] = [
  [
    'submit availdesk.yaml --edited-from 12 --why "Raise the cap for Easter"',
    "Submit an edit of version 12",
  ],
];

/** Validates the document and submits it. */
export async function handler(
  args: CtlArguments,
  context: CtlContext,
): Promise<ExitCode> {
  const file = getString(args, "file");
  const editedFrom = getInteger(args, { name: "edited-from", min: 0 });
  const result = loadLocalDocument(context, { file });
  if (result.isErr()) {
    return printFailure(context, {
      code: "document-invalid",
      message: `${file} has errors and was not sent`,
      hint: "Correct every error and submit again",
      errors: result.error,
    });
  }
  const { team, text } = result.value;
  return await submitChange(context, {
    args,
    change: {
      method: "PUT",
      path: `v1/documents/${team}`,
      fields: { text, editedFrom },
      what: `document of ${team}`,
      file: { path: file, name: team },
    },
  });
}
