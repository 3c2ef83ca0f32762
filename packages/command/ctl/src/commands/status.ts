/**
 * The `status` subcommand: prints the state as seen by one entry.
 *
 * @module
 */
import type { JsonValue } from "@dotterelmoor/core.types";
import type { CtlArguments, CtlCommand, CtlContext } from "../ctl_command.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import type { ExitCode } from "../exit_codes.ts";
import { printFailure, printValue } from "../printing.ts";

export const names: CtlCommand["names"] = ["status"];

export const help =
  "Show regions, groups, shifts, drains, leases, the store and versions";

export const flags = {} as const satisfies CtlCommand["flags"];

export const examples: CtlCommand["examples"] = [
  ["status", "State as seen by the entry at --operator-url"],
  ["status --json", "The same as JSON, for scripts"],
];

/** Fetches and prints the state. */
export async function handler(
  _args: CtlArguments,
  context: CtlContext,
): Promise<ExitCode> {
  const result = await context.openClient().send<JsonValue>({
    method: "GET",
    path: "v1/status",
  });
  if (result.isErr()) return printFailure(context, result.error);
  printValue(context, result.value);
  return EXIT_CODES.ok;
}
