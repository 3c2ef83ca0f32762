/**
 * Interface of the subcommands, and helpers to read their arguments.
 *
 * @module
 */
import type { Options } from "yargs";
import type { ExitCode } from "./exit_codes.ts";
import type { OperatorClient } from "./operator_client.ts";

/** Process facilities that the command line uses. */
export interface CtlEnvironment {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Reads a whole file as UTF-8; throws if it cannot be read. */
  readonly readFile: (path: string) => string;
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
  /** Waits between two attempts to send a change. */
  readonly wait: (durationMs: number) => Promise<void>;
  readonly makeChangeId: () => string;
}

/** Context that is passed to the handler of a subcommand. */
export interface CtlContext extends CtlEnvironment {
  readonly json: boolean;
  /** Creates a client; throws a `UsageError` if a setting is unusable. */
  readonly openClient: () => OperatorClient;
}

/** Parsed arguments by name: strings, lists of strings or booleans. */
export type CtlArguments = Readonly<Record<string, unknown>>;

/** Exports of a subcommand's module. */
export interface CtlCommand {
  /** Name with its positional arguments, such as `show [team]`. */
  readonly names: readonly string[];
  readonly flags: Readonly<Record<string, Options>>;
  readonly help: string;
  /** Pairs of an example, without the program name, and its description. */
  readonly examples: readonly (readonly [string, string])[];
  readonly handler: (
    args: CtlArguments,
    context: CtlContext,
  ) => Promise<ExitCode>;
}

/** Invalid usage or a missing setting; results in exit code 2. */
export class UsageError extends Error {
  override readonly name = "UsageError";
  readonly hint: string;

  constructor(message: string, hint: string) {
    super(message);
    this.hint = hint;
  }
}

/** Returns a required string argument; throws a `UsageError` if missing. */
export function getString(args: CtlArguments, name: string): string {
  const value = args[name];
  if (typeof value === "string" && value.trim() !== "") return value;
  throw new UsageError(
    `Argument ${name} is missing`,
    `Pass a value for ${name}`,
  );
}

/** Returns a required integer; throws a `UsageError` if it is out of range. */
export function getInteger(
  args: CtlArguments,
  bounds: {
    readonly name: string;
    readonly min: number;
    readonly max?: number;
  },
): number {
  const { name, min, max = Number.MAX_SAFE_INTEGER } = bounds;
  const text = getString(args, name);
  const value = Number(text);
  if (Number.isSafeInteger(value) && value >= min && value <= max) return value;
  throw new UsageError(
    `Argument ${name} has ${text}, expected a whole number from ${min}` +
      (bounds.max === undefined ? "" : ` to ${max}`),
    `Correct ${name}`,
  );
}

/** Reads a file given on the command line; throws a `UsageError` on failure. */
export function readNamedFile(context: CtlEnvironment, path: string): string {
  try {
    return context.readFile(path);
  } catch (error) {
    const code = (error as { code?: unknown }).code;
    throw new UsageError(
      `Cannot read file ${path}${code ? ` (${String(code)})` : ""}`,
      "Check the path and its permissions",
    );
  }
}
