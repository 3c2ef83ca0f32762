/**
 * The command `dotterelmoor-replay`.
 *
 * @module
 */

import { createReadStream } from "node:fs";
import { encodeTraceValue } from "@dotterelmoor/core.recording";
import { runReplay } from "./replay.ts";
import type { ReplayResult } from "./replay.ts";

/** Names of the command, with its arguments. */
export const names: readonly string[] = ["$0 <files..>"];

/** What the command does. */
export const help = `Replays recorded traces through the decision library

Exit codes:
  0  every event led to the recorded actions
  1  an event led to other actions; the first one is printed
  2  a file or a line cannot be read, or the arguments are wrong`;

/** Arguments of the command. */
export interface ReplayArguments {
  readonly files: readonly string[];
  readonly quiet: boolean;
}

/** Exit code of a replay. */
export type ReplayExitCode = 0 | 1 | 2;

/** Flags of the command. */
export const flags = {
  quiet: {
    default: false,
    describe: "Print only differences and errors",
    type: "boolean",
  },
} as const;

/** Replays the files in turn and returns the highest exit code. */
export async function handler(
  args: ReplayArguments,
  print: (text: string) => void,
): Promise<ReplayExitCode> {
  let exitCode: ReplayExitCode = 0;
  for (const file of args.files) {
    const result = await runFile(file);
    const code = EXIT_CODES[result.type];
    if (code > exitCode) exitCode = code;
    if (code > 0 || !args.quiet) print(describeResult(file, result));
  }
  return exitCode;
}

const EXIT_CODES: Readonly<Record<ReplayResult["type"], ReplayExitCode>> = {
  same: 0,
  different: 1,
  invalid: 2,
};

async function runFile(file: string): Promise<ReplayResult> {
  try {
    return await runReplay(readCompleteLines(file));
  } catch (error) {
    return {
      type: "invalid",
      line: 0,
      error: {
        code: "trace_unreadable",
        message: `Cannot read the file: ${(error as Error).message}`,
        hint: "Check the path and the permissions",
      },
    };
  }
}

/**
 * Reads the lines of a file. What follows the last line break is left out: a
 * process that is killed may leave part of a line there.
 */
async function* readCompleteLines(file: string): AsyncGenerator<string, void> {
  let rest = "";
  for await (const chunk of createReadStream(file, "utf8")) {
    const lines = `${rest}${chunk}`.split("\n");
    rest = lines.pop()!;
    yield* lines;
  }
}

function describeResult(file: string, result: ReplayResult): string {
  if (result.type === "same") return `${file}: ${result.events} events match`;
  if (result.type === "invalid") {
    const { code, message, hint } = result.error;
    return `${file}:${result.line}: ${message} (${code}). ${hint}`;
  }
  const { line, event, actions } = result;
  return [
    `${file}:${line}: The actions differ`,
    `  at       ${event.atMs} ms in ${event.module}`,
    `  event    ${encodeTraceValue("event" in event ? event.event : event)}`,
    `  expected ${encodeTraceValue(event.expect)}`,
    `  actual   ${encodeTraceValue(actions)}`,
  ].join("\n");
}
