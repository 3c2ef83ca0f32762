/**
 * List of all subcommands.
 *
 * @module
 */
import type { CtlCommand } from "../ctl_command.ts";
import * as check from "./check.ts";
import * as drain from "./drain.ts";
import * as history from "./history.ts";
import * as lease from "./lease.ts";
import * as quarantine from "./quarantine.ts";
import * as show from "./show.ts";
import * as status from "./status.ts";
import * as submit from "./submit.ts";
import * as undrain from "./undrain.ts";

/** Subcommands, in the order in which the help lists them. */
export const COMMANDS: readonly CtlCommand[] = [
  check,
  submit,
  show,
  history,
  status,
  drain,
  undrain,
  quarantine,
  lease,
];
