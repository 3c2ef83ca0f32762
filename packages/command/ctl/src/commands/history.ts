/**
 * The `history` subcommand: lists recent changes.
 *
 * @module
 */
import type { History } from "@dotterelmoor/daemon.operating";
import type { CtlArguments, CtlCommand, CtlContext } from "../ctl_command.ts";
import { getInteger, getString } from "../ctl_command.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import type { ExitCode } from "../exit_codes.ts";
import { printFailure, printValue } from "../printing.ts";

export const names: CtlCommand["names"] = ["history"];

export const help = "List recent changes, newest first";

export const flags = {
  team: {
    type: "string",
    describe: "Only changes that affect this team",
    requiresArg: true,
  },
  limit: {
    type: "string",
    describe: "Number of changes, 1 to 200",
    default: "20",
    requiresArg: true,
  },
} as const satisfies CtlCommand["flags"];

export const examples: CtlCommand["examples"] = [
  ["history --team availdesk --limit 5", "The last five changes of a team"],
];

/** Fetches and prints the changes. */
export async function handler(
  args: CtlArguments,
  context: CtlContext,
): Promise<ExitCode> {
  const limit = getInteger(args, { name: "limit", min: 1, max: 200 });
  const result = await context.openClient().send<History>({
    method: "GET",
    path: "v1/history",
    query: {
      limit: String(limit),
      ...(args.team === undefined ? {} : { team: getString(args, "team") }),
    },
  });
  if (result.isErr()) return printFailure(context, result.error);
  printValue(context, result.value, { text: renderHistory(result.value) });
  return EXIT_CODES.ok;
}

function renderHistory({ changes, complete }: History): string {
  const lines = changes.flatMap((change) => [
    `${change.sequence}  ${new Date(change.whenMs).toISOString()}  ` +
    `${change.who}  ${change.kind} ${change.subject}: ${change.why}`,
    ...change.differences.map((line) => `    ${line}`),
  ]);
  if (lines.length === 0) lines.push("none");
  if (!complete) lines.push("Older changes are not shown");
  return lines.join("\n");
}
