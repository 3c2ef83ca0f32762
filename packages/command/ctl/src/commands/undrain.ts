/**
 * The `undrain` subcommand: withdraws the drain of a backend server.
 *
 * @module
 */
import type { CtlArguments, CtlCommand, CtlContext } from "../ctl_command.ts";
import { getString } from "../ctl_command.ts";
import type { ExitCode } from "../exit_codes.ts";
import { CHANGE_FLAGS, submitChange } from "../submitting.ts";

export const names: CtlCommand["names"] = ["undrain <instance>"];

export const help =
  "Withdraw a drain; other sources may still report the server as leaving";

export const flags = CHANGE_FLAGS satisfies CtlCommand["flags"];

export const examples: CtlCommand["examples"] = [
  ['undrain server-7 --why "Disk replaced"', "Withdraw one drain"],
];

/** Withdraws the drain. */
export async function handler(
  args: CtlArguments,
  context: CtlContext,
): Promise<ExitCode> {
  const instance = getString(args, "instance");
  return await submitChange(context, {
    args,
    change: {
      method: "DELETE",
      path: `v1/drains/${encodeURIComponent(instance)}`,
      what: `withdrawn drain of ${instance}`,
    },
  });
}
