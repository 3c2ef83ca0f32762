/**
 * Records the decisions of this process as a trace, if settings name a file.
 *
 * @module
 */

import { createWriteStream } from "node:fs";
import { createRecorder } from "@dotterelmoor/core.recording";
import type { DisposableStore, StateMachine } from "@dotterelmoor/core.types";
import type { Clock } from "./clock.ts";

/** Options of `createMachineFactory`. */
export interface MachineFactoryOptions {
  /** Trace file; without it nothing is recorded. */
  readonly file?: string;
  readonly clock: Clock;
  readonly store: DisposableStore;
}

/** A state machine to create. */
export interface MachineSource<Options, Machine> {
  /** Name of the package below `core`. */
  readonly module: string;
  /** Tells machines of one module apart. */
  readonly instance?: string;
  readonly create: (options: Options) => Machine;
  readonly options: Options;
}

/** Creates state machines, with a recorder around each one if wanted. */
export type CreateMachine = <
  Options extends object,
  Event,
  Action,
  Machine extends StateMachine<Event, Action>,
>(
  source: MachineSource<Options, Machine & StateMachine<Event, Action>>,
) => Machine;

/** Creates the factory of state machines. */
export function createMachineFactory(
  options: MachineFactoryOptions,
): CreateMachine {
  if (options.file === undefined) {
    return (source) => source.create(source.options);
  }
  const stream = createWriteStream(options.file, { flags: "a" });
  options.store.add(() =>
    new Promise<void>((resolve) => stream.end(() => resolve()))
  );
  return (source) =>
    createRecorder({
      ...source,
      nowMs: options.clock.nowMs(),
      write: (line) => stream.write(`${line}\n`),
    });
}
