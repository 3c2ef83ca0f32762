/**
 * The `lease` subcommand: lists leases and releases a lease whose owner and
 * deputy are gone.
 *
 * @module
 */
import type { LeaseReport } from "@dotterelmoor/daemon.operating";
import type { CtlArguments, CtlCommand, CtlContext } from "../ctl_command.ts";
import { getString, UsageError } from "../ctl_command.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import type { ExitCode } from "../exit_codes.ts";
import { printFailure, printValue } from "../printing.ts";
import { CHANGE_FLAGS, submitChange } from "../submitting.ts";

export const names: CtlCommand["names"] = [
  "lease <action> [service] [region]",
];

export const help = "List leases of target groups (list) or release one " +
  "whose owner and deputy are gone (release)";

export const flags = {
  ...CHANGE_FLAGS,
  why: { ...CHANGE_FLAGS.why, demandOption: false },
} as const satisfies CtlCommand["flags"];

export const examples: CtlCommand["examples"] = [
  ["lease list", "Owners and deputies of the target groups"],
  [
    'lease release holdkeeper southeast --why "Both instances are deleted"',
    "Let another entry take over the group once its sessions have expired",
  ],
];

/** Lists the leases, or releases one. */
export async function handler(
  args: CtlArguments,
  context: CtlContext,
): Promise<ExitCode> {
  const action = getString(args, "action");
  if (action === "release") {
    const service = getString(args, "service");
    const region = getString(args, "region");
    return await submitChange(context, {
      args,
      change: {
        method: "DELETE",
        path: `v1/leases/${encodeURIComponent(service)}/` +
          encodeURIComponent(region),
        what: `released lease of ${service} in ${region}`,
      },
    });
  }
  if (action !== "list" || args.service !== undefined) {
    throw new UsageError(
      `Argument action has ${action}, expected list, or release <service> ` +
        "<region>",
      "Run lease --help",
    );
  }
  const result = await context.openClient().send<
    { readonly leases: readonly LeaseReport[] }
  >({ method: "GET", path: "v1/leases" });
  if (result.isErr()) return printFailure(context, result.error);
  const { leases } = result.value;
  printValue(context, leases, leases.length > 0 ? {} : { text: "none" });
  return EXIT_CODES.ok;
}
