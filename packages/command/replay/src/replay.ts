/**
 * Replays a trace and compares the actions with the recorded ones.
 *
 * @module
 */

import type { CodedError, Random } from "@dotterelmoor/core.types";
import { isDeepStrictEqual } from "node:util";
import { MODULES } from "./modules.ts";
import type { AnyMachine } from "./modules.ts";
import {
  decodeTraceValue,
  encodeTraceValue,
  parseTraceLine,
} from "@dotterelmoor/core.recording";
import type {
  CallLine,
  EventLine,
  OptionsLine,
  TraceLine,
} from "@dotterelmoor/core.recording";

/** Result of a replay, which stops at the first difference or error. */
export type ReplayResult =
  | { readonly type: "same"; readonly events: number }
  | {
    readonly type: "different";
    /** Line number, starting at 1. */
    readonly line: number;
    readonly event: EventLine | CallLine;
    /** Actual actions, or the actual result of a call. */
    readonly actions: unknown;
  }
  | {
    readonly type: "invalid";
    readonly line: number;
    readonly error: CodedError;
  };

interface ReplayedMachine {
  readonly machine: AnyMachine;
  /** Recorded random numbers of the current line that were not drawn yet. */
  readonly randomNumbers: number[];
}

/** Replays the lines of one trace, which may contain several state machines. */
export async function runReplay(
  lines: AsyncIterable<string> | Iterable<string>,
): Promise<ReplayResult> {
  const machines = new Map<string, ReplayedMachine>();
  let line = 0;
  let events = 0;
  for await (const text of lines) {
    line += 1;
    if (text.trim() === "") continue;
    const parsed = parseTraceLine(text);
    if ("code" in parsed) return { type: "invalid", line, error: parsed };
    if ("options" in parsed) {
      const error = addMachine(machines, parsed);
      if (error !== undefined) return { type: "invalid", line, error };
      continue;
    }
    const replayed = machines.get(getMachineKey(parsed));
    if (replayed === undefined) {
      return { type: "invalid", line, error: MISSING_OPTIONS_ERROR };
    }
    events += 1;
    const actions = runLine(replayed, parsed);
    if (!isDeepStrictEqual(actions, parsed.expect)) {
      return { type: "different", line, event: parsed, actions };
    }
  }
  return { type: "same", events };
}

const MISSING_OPTIONS_ERROR: CodedError = {
  code: "trace_without_options",
  message: "The event belongs to a state machine without an options line",
  hint: "Add a line with its options before its first event",
};

function getMachineKey({ module, instance = "" }: TraceLine): string {
  return `${module}/${instance}`;
}

function addMachine(
  machines: Map<string, ReplayedMachine>,
  line: OptionsLine,
): CodedError | undefined {
  const create = Object.hasOwn(MODULES, line.module)
    ? MODULES[line.module]
    : undefined;
  if (create === undefined) {
    return {
      code: "trace_module_unknown",
      message: `Unknown module ${line.module}`,
      hint: `Use one of ${Object.keys(MODULES).join(", ")}`,
    };
  }
  const randomNumbers = [...line.random ?? []];
  const random: Random = () => {
    const value = randomNumbers.shift();
    if (value === undefined) {
      throw new Error("More random numbers were drawn than the trace records");
    }
    return value;
  };
  const machine = create({ ...line.options, random });
  machines.set(getMachineKey(line), { machine, randomNumbers });
  return undefined;
}

/** Runs an event or a call; a thrown error is returned as an `error` action. */
function runLine(
  replayed: ReplayedMachine,
  line: EventLine | CallLine,
): unknown {
  const { machine, randomNumbers } = replayed;
  randomNumbers.splice(0, randomNumbers.length, ...line.random ?? []);
  try {
    const result = "event" in line
      ? machine.handle(line.event, line.atMs)
      : runCall(machine, line);
    // Recording drops undefined properties, so the result must drop them too.
    return result === undefined
      ? undefined
      : decodeTraceValue(JSON.parse(encodeTraceValue(result)));
  } catch (error) {
    return [{ type: "error", message: String(error) }];
  }
}

function runCall(machine: AnyMachine, { call, args }: CallLine): unknown {
  const methods = machine as unknown as Record<
    string,
    (...args: readonly unknown[]) => unknown
  >;
  return methods[call]!.call(machine, ...args);
}
