/**
 * The `show` subcommand: prints the documents in force.
 *
 * @module
 */
import type {
  DocumentDetails,
  DocumentSummary,
} from "@dotterelmoor/daemon.operating";
import type { CtlArguments, CtlCommand, CtlContext } from "../ctl_command.ts";
import { getString } from "../ctl_command.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import type { ExitCode } from "../exit_codes.ts";
import { printFailure, printValue, renderTable } from "../printing.ts";

export const names: CtlCommand["names"] = ["show [team]"];

export const help = "List the documents, or print one with its version";

export const flags = {} as const satisfies CtlCommand["flags"];

export const examples: CtlCommand["examples"] = [
  ["show", "List the documents with their versions"],
  ["show availdesk > availdesk.yaml", "Fetch a document to edit it"],
];

/** Lists the documents, or prints the document of one team. */
export async function handler(
  args: CtlArguments,
  context: CtlContext,
): Promise<ExitCode> {
  return args.team === undefined
    ? await showDocuments(context)
    : await showDocument(context, getString(args, "team"));
}

async function showDocuments(context: CtlContext): Promise<ExitCode> {
  const result = await context.openClient().send<
    { readonly documents: readonly DocumentSummary[] }
  >({ method: "GET", path: "v1/documents" });
  if (result.isErr()) return printFailure(context, result.error);
  const { documents } = result.value;
  printValue(context, documents, {
    text: renderTable(
      ["team", "version", "who", "when"],
      documents.map(({ team, version, who, whenMs }) => [
        team,
        version,
        who,
        new Date(whenMs).toISOString(),
      ]),
    ),
  });
  return EXIT_CODES.ok;
}

async function showDocument(
  context: CtlContext,
  team: string,
): Promise<ExitCode> {
  const result = await context.openClient().send<DocumentDetails>({
    method: "GET",
    path: `v1/documents/${encodeURIComponent(team)}`,
  });
  if (result.isErr()) return printFailure(context, result.error);
  const { version, who, text } = result.value;
  // Printed to stderr, since stdout may be redirected into a document file.
  if (!context.json) context.writeError(`Version ${version} by ${who}`);
  printValue(context, result.value, { text: text.trimEnd() });
  return EXIT_CODES.ok;
}
