/**
 * The `drain` subcommand: stops new work for a backend server.
 *
 * @module
 */
import type { CtlArguments, CtlCommand, CtlContext } from "../ctl_command.ts";
import { getString } from "../ctl_command.ts";
import type { ExitCode } from "../exit_codes.ts";
import { CHANGE_FLAGS, submitChange } from "../submitting.ts";

export const names: CtlCommand["names"] = ["drain <instance>"];

export const help = "Stop sending new work to a backend server";

export const flags = CHANGE_FLAGS satisfies CtlCommand["flags"];

export const examples: CtlCommand["examples"] = [
  ['drain server-7 --why "Replace the disk"', "Drain one backend server"],
];

/** Submits the drain. */
export async function handler(
  args: CtlArguments,
  context: CtlContext,
): Promise<ExitCode> {
  const instance = getString(args, "instance");
  return await submitChange(context, {
    args,
    change: {
      method: "PUT",
      path: `v1/drains/${encodeURIComponent(instance)}`,
      what: `drain of ${instance}`,
    },
  });
}
