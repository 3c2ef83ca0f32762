/**
 * Records what a state machine does.
 *
 * @module
 */

import type { Random, StateMachine } from "@dotterelmoor/core.types";
import type { EventLine, OptionsLine } from "./trace.ts";

/** What to record and where to. */
export interface RecorderOptions<Options, Machine> {
  /** Name of the package below `core`. */
  readonly module: string;
  readonly instance?: string;
  readonly create: (options: Options) => Machine;
  readonly options: Options;
  readonly nowMs: number;
  /** Takes one line of the trace, without the line break. */
  readonly write: (line: string) => void;
}

/**
 * Creates a state machine that writes a trace line for each event. Random
 * numbers drawn from `options.random` are part of the line, so that a replay
 * draws the same ones.
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
  const first: OptionsLine = { atMs: nowMs, ...head, options };
  write(JSON.stringify(first));
  const handle = machine.handle.bind(machine);
  machine.handle = (event, atMs) => {
    drawn = [];
    const expect = handle(event, atMs);
    const line: EventLine = {
      atMs,
      ...head,
      event: event as EventLine["event"],
      random: drawn.length > 0 ? drawn : undefined,
      expect,
    };
    write(JSON.stringify(line));
    return expect;
  };
  return machine;
}
