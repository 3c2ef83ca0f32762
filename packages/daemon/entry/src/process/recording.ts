/**
 * Records the decisions of this process as a trace, if settings name a file.
 *
 * @module
 */

import { closeSync, openSync, writeSync } from "node:fs";
import { createRecorder } from "@dotterelmoor/core.recording";
import type { DisposableStore, StateMachine } from "@dotterelmoor/core.types";
import type { Logger } from "pino";
import type { Clock } from "./clock.ts";

/** Options of `createMachineFactory`. */
export interface MachineFactoryOptions {
  /** Trace file; without it nothing is recorded. */
  readonly file?: string;
  readonly clock: Clock;
  readonly store: DisposableStore;
  readonly log: Logger;
}

/** A state machine to create. */
export interface MachineSource<Options, Machine> {
  /** Name of the package below `core`. */
  readonly module: string;
  /** Tells machines of one module apart. */
  readonly instance?: string;
  readonly create: (options: Options) => Machine;
  readonly options: Options;
  /** Methods besides `handle` that change state. */
  readonly calls?: readonly string[];
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
  const write = openTrace(options.file, options);
  const created = new Map<string, number>();
  return (source) =>
    createRecorder({
      ...source,
      instance: makeInstance(source, created),
      nowMs: options.clock.nowMs(),
      write,
    });
}

/** A machine that takes the place of an earlier one gets a name of its own. */
function makeInstance(
  { module, instance }: { readonly module: string; readonly instance?: string },
  created: Map<string, number>,
): string | undefined {
  const name = `${module}/${instance ?? ""}`;
  const count = (created.get(name) ?? 0) + 1;
  created.set(name, count);
  return count === 1 ? instance : `${instance ?? ""}#${count}`;
}

/**
 * Opens a trace. Lines are written at once, so that those before a crash or a
 * kill are in the file. Recording ends when the file cannot be written.
 */
function openTrace(
  file: string,
  { log, store }: MachineFactoryOptions,
): (line: string) => void {
  const descriptor = openSync(file, "a");
  let isOpen = true;
  const close = () => {
    if (isOpen) closeSync(descriptor);
    isOpen = false;
  };
  store.add(close);
  return (line) => {
    if (!isOpen) return;
    try {
      writeSync(descriptor, `${line}\n`);
    } catch (error) {
      close();
      log.warn({ error: String(error) }, "Cannot write the trace.");
    }
  };
}
