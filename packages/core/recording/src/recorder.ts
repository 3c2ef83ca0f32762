/**
 * Records the events, calls and actions of a state machine.
 *
 * @module
 */

import type { Random, StateMachine } from "@dotterelmoor/core.types";
import { encodeTraceValue } from "./encoding.ts";

/** Options of {@linkcode createRecorder}. */
export interface RecorderOptions<Options, Machine> {
  /** Name of the module, the package below `core`. */
  readonly module: string;
  /** Distinguishes machines of one module. */
  readonly instance?: string;
  readonly create: (options: Options) => Machine;
  readonly options: Options;
  /** Monotonic time of the creation. */
  readonly nowMs: number;
  /**
   * Methods other than `handle` that change state. Their last argument must be
   * the time.
   */
  readonly calls?: readonly string[];
  /** Writes one line of the trace, given without line break. */
  readonly write: (line: string) => void;
}

type Method = (...args: unknown[]) => unknown;

/**
 * Creates a state machine that writes a trace line for each event. The line
 * includes the random numbers drawn from `options.random`, so that a replay
 * draws the same numbers.
 */
export function createRecorder<
  Options extends object,
  Event,
  Action,
  Machine extends StateMachine<Event, Action>,
>(
  recorder: RecorderOptions<Options, Machine & StateMachine<Event, Action>>,
): Machine {
  const { module, instance, create, nowMs, write } = recorder;
  const { random, ...options } = recorder.options as { random?: Random };
  let drawn: number[] = [];
  let isRecording = false;
  const recordRandom = () => {
    const value = random!();
    drawn.push(value);
    return value;
  };
  const machine = create(
    (random === undefined
      ? options
      : { ...options, random: recordRandom }) as Options,
  );
  const head = { module, instance };
  const takeDrawn = () => drawn.length > 0 ? drawn : undefined;
  write(
    encodeTraceValue({ atMs: nowMs, ...head, options, random: takeDrawn() }),
  );

  // The input is encoded first, because the machine may keep and modify it.
  // Nested calls of the machine's own methods are part of the outer line.
  function record<T>(input: object, run: () => T): T {
    if (isRecording) return run();
    drawn = [];
    const start = encodeTraceValue(input);
    isRecording = true;
    const expect = runThen(run, () => isRecording = false);
    const end = encodeTraceValue({ random: takeDrawn(), expect });
    write(`${start.slice(0, -1)},${end.slice(1)}`);
    return expect;
  }

  const handle = machine.handle.bind(machine);
  machine.handle = (event, atMs) =>
    record({ atMs, ...head, event }, () => handle(event, atMs));
  const methods = machine as unknown as Record<string, Method>;
  for (const call of recorder.calls ?? []) {
    const method = methods[call]!.bind(machine);
    methods[call] = (...args) => {
      const line = { atMs: args.at(-1), ...head, call, args };
      return record(line, () => method(...args));
    };
  }
  return machine;
}

function runThen<T>(run: () => T, end: () => void): T {
  try {
    return run();
  } finally {
    end();
  }
}
