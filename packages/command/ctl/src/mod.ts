/**
 * Command line for operators.
 *
 * @module
 */

export { COMMANDS } from "./commands/mod.ts";
export type {
  CtlArguments,
  CtlCommand,
  CtlContext,
  CtlEnvironment,
} from "./ctl_command.ts";
export { EXIT_CODES } from "./exit_codes.ts";
export type { ExitCode } from "./exit_codes.ts";
export { runCtl } from "./running.ts";
