/**
 * Submits changes, and retries with the same change id if a response is lost.
 *
 * @module
 */
import type { AcceptedChange } from "@dotterelmoor/daemon.operating";
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { CtlArguments, CtlContext } from "./ctl_command.ts";
import { getString, UsageError } from "./ctl_command.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import type { ExitCode, FailureCode } from "./exit_codes.ts";
import type { OperatorFailure, OperatorRequest } from "./operator_client.ts";
import { printFailure, printValue } from "./printing.ts";

/** Flags of every subcommand that submits a change. */
export const CHANGE_FLAGS = {
  why: {
    type: "string",
    describe: "Reason, which is stored in the audit log",
    demandOption: true,
    requiresArg: true,
  },
  "change-id": {
    type: "string",
    describe: "Change id of an earlier attempt whose outcome is unknown",
    requiresArg: true,
  },
} as const;

/** Failures after which the change may or may not have been applied. */
const UNCERTAIN_CODES: ReadonlySet<FailureCode> = new Set<FailureCode>([
  "answer-invalid",
  "answer-lost",
  "internal",
  "outcome-unknown",
]);

/** Failures after which the change was not applied, but a retry may succeed. */
const TRANSIENT_CODES: ReadonlySet<FailureCode> = new Set<FailureCode>([
  "store-unavailable",
  "unreachable",
]);

/** Delays before the second and each further attempt. */
const RETRY_DELAYS_MS = [250, 500, 1_000, 2_000] as const;

/** A change without its change id and reason. */
export interface ChangeRequest {
  readonly method: "PUT" | "DELETE";
  readonly path: string;
  readonly fields?: Readonly<Record<string, unknown>>;
  /** Description of the change for the printed result. */
  readonly what: string;
  /** Submitted file, and the name under which the response lists its errors. */
  readonly file?: { readonly path: string; readonly name: string };
}

/** Submits a change, prints the result and returns the exit code. */
export async function submitChange(
  context: CtlContext,
  options: { readonly args: CtlArguments; readonly change: ChangeRequest },
): Promise<ExitCode> {
  const { args, change } = options;
  const why = getString(args, "why");
  const changeId = args["change-id"] === undefined
    ? context.makeChangeId()
    : checkChangeId(getString(args, "change-id"));
  const request = makeRequest(change, { why, changeId });
  const result = await sendWithRetries(context, { request, changeId });
  if (result.isErr()) {
    return printFailure(context, result.error, { file: change.file });
  }
  const { sequence, alreadyApplied } = result.value;
  const state = alreadyApplied ? "was applied before" : "is accepted";
  printValue(context, { changeId, ...result.value }, {
    text: `Change ${sequence} ${state}: ${change.what}`,
  });
  return EXIT_CODES.ok;
}

function checkChangeId(changeId: string): string {
  if (/^[A-Za-z0-9_-]{8,64}$/.test(changeId)) return changeId;
  throw new UsageError(
    `Argument change-id has ${changeId}, expected 8 to 64 letters, digits, ` +
      "hyphens and underscores",
    "Copy the change id from the earlier attempt",
  );
}

function makeRequest(
  change: ChangeRequest,
  origin: { readonly why: string; readonly changeId: string },
): OperatorRequest {
  const { method, path, fields } = change;
  return method === "PUT"
    ? { method, path, body: { ...fields, ...origin } }
    : { method, path, query: origin };
}

async function sendWithRetries(
  context: CtlContext,
  options: {
    readonly request: OperatorRequest;
    readonly changeId: string;
  },
): Promise<Result<AcceptedChange, OperatorFailure>> {
  const client = context.openClient();
  let mayBeApplied = false;
  for (let attempt = 0;; attempt++) {
    const result = await client.send<AcceptedChange>(options.request);
    if (result.isOk()) return result;
    const { code } = result.error;
    // Any other response is conclusive for the earlier attempts too: an entry
    // looks for an applied change with this id before it refuses.
    if (!UNCERTAIN_CODES.has(code) && !TRANSIENT_CODES.has(code)) return result;
    mayBeApplied ||= UNCERTAIN_CODES.has(code);
    const delayMs = RETRY_DELAYS_MS[attempt];
    if (delayMs !== undefined) await context.wait(delayMs);
    else if (!mayBeApplied) return result;
    else return Err(addRetryHint(result.error, options.changeId));
  }
}

function addRetryHint(
  failure: OperatorFailure,
  changeId: string,
): OperatorFailure {
  return {
    ...failure,
    message: `${failure.message}; the change may have been applied`,
    hint: `Run the same command with --change-id ${changeId}; ` +
      "it is applied once",
  };
}
