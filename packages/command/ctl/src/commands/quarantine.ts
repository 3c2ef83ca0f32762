/**
 * The `quarantine` subcommand: lists and lifts quarantines.
 *
 * @module
 */
import type { QuarantineReport } from "@dotterelmoor/daemon.operating";
import type { CtlArguments, CtlCommand, CtlContext } from "../ctl_command.ts";
import { getString, UsageError } from "../ctl_command.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import type { ExitCode } from "../exit_codes.ts";
import { printFailure, printValue } from "../printing.ts";
import { CHANGE_FLAGS, submitChange } from "../submitting.ts";

export const names: CtlCommand["names"] = [
  "quarantine <action> [fingerprint]",
];

export const help =
  "List quarantined requests (list) or lift a quarantine (lift)";

export const flags = {
  ...CHANGE_FLAGS,
  why: { ...CHANGE_FLAGS.why, demandOption: false },
} as const satisfies CtlCommand["flags"];

export const examples: CtlCommand["examples"] = [
  ["quarantine list", "Requests that crashed backend servers"],
  [
    'quarantine lift 5d41402abc --why "Fixed in release 31"',
    "Allow the request to run again",
  ],
];

/** Lists the quarantined requests, or lifts the quarantine of one. */
export async function handler(
  args: CtlArguments,
  context: CtlContext,
): Promise<ExitCode> {
  const action = getString(args, "action");
  if (action === "lift") {
    const fingerprint = getString(args, "fingerprint");
    return await submitChange(context, {
      args,
      change: {
        method: "DELETE",
        path: `v1/quarantine/${encodeURIComponent(fingerprint)}`,
        what: `lifted quarantine of ${fingerprint}`,
      },
    });
  }
  if (action !== "list" || args.fingerprint !== undefined) {
    throw new UsageError(
      `Argument action has ${action}, expected list, or lift <fingerprint>`,
      "Run quarantine --help",
    );
  }
  const result = await context.openClient().send<
    { readonly quarantine: readonly QuarantineReport[] }
  >({ method: "GET", path: "v1/quarantine" });
  if (result.isErr()) return printFailure(context, result.error);
  const { quarantine } = result.value;
  printValue(
    context,
    quarantine,
    quarantine.length > 0 ? {} : { text: "none" },
  );
  return EXIT_CODES.ok;
}
