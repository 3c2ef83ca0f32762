/**
 * Form of a subcommand and what it runs with.
 *
 * @module
 */
import type { Options } from "yargs";
import type { ExitCode } from "./exit_codes.ts";
import type { OperatorClient } from "./operator_client.ts";

/** What the command line takes from its process. */
export interface CtlEnvironment {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Reads a whole file as UTF-8; throws when it cannot. */
  readonly readFile: (path: string) => string;
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
  /** Waits between attempts. */
  readonly wait: (durationMs: number) => Promise<void>;
  readonly makeChangeId: () => string;
}

/** What a subcommand runs with. */
export interface CtlContext extends CtlEnvironment {
  readonly json: boolean;
  /** Opens the operators' interface; throws a `UsageError` without settings. */
  readonly openClient: () => OperatorClient;
}

/** Arguments by name, as text; a flag without a value is `true`. */
export type CtlArguments = Readonly<Record<string, unknown>>;

/** A module of one subcommand. */
export interface CtlCommand {
  /** Name with positional arguments, such as `show [team]`. */
  readonly names: readonly string[];
  readonly flags: Readonly<Record<string, Options>>;
  readonly help: string;
  /** Examples without the program's name, each with what it does. */
  readonly examples: readonly (readonly [string, string])[];
  readonly handler: (
    args: CtlArguments,
    context: CtlContext,
  ) => Promise<ExitCode>;
}

/** Wrong use of the command line or missing settings; ends with exit code 2. */
export class UsageError extends Error {
  override readonly name = "UsageError";
  readonly hint: string;

  constructor(message: string, hint: string) {
    super(message);
    this.hint = hint;
  }
}

/** Reads an argument that must be given as text. */
export function getString(args: CtlArguments, name: string): string {
  const value = args[name];
  if (typeof value === "string" && value.trim() !== "") return value;
  throw new UsageError(`Argument ${name} is missing`, `Give ${name} a value`);
}

/** Reads an argument that must be a whole number. */
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

/** Reads a file that was named on the command line. */
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
