/**
 * The command `dotterelmoor-replay`: flags, help and handler.
 *
 * @module
 */

import { createReadStream } from "node:fs";
import { encodeTraceValue } from "@dotterelmoor/core.recording";
import { runReplay } from "./replay.ts";
import type { ReplayResult } from "./replay.ts";

/** Name of the command, with its positional arguments. */
export const names: readonly string[] = ["$0 <files..>"];

/** Help text of the command. */
export const help = `Replays recorded traces through the state machines of core

Exit codes:
  0  every event produced the recorded actions
  1  an event produced other actions; the first such event is printed
  2  a file or a line cannot be read, or the arguments are invalid`;

/** Arguments of the command. */
export interface ReplayArguments {
  readonly files: readonly string[];
  readonly quiet: boolean;
}

/** Exit code of a replay, as listed in the help. */
export type ReplayExitCode = 0 | 1 | 2;

/** Flags of the command. */
export const flags = {
  quiet: {
    default: false,
    describe: "Print only differences and errors",
    type: "boolean",
  },
} as const;

/** Replays the files one after another and returns the highest exit code. */
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
 * Yields the lines of a file. Text after the last line break is ignored,
 * because a killed process may have written part of a line.
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
