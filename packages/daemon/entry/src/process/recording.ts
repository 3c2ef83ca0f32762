/**
 * Records the state machines of this process in a trace file if one is set.
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
  /** Trace file; if undefined, nothing is recorded. */
  readonly file?: string;
  readonly clock: Clock;
  readonly store: DisposableStore;
  readonly log: Logger;
}

/** Describes a state machine to create. */
export interface MachineSource<Options, Machine> {
  /** Name of the package below `core`. */
  readonly module: string;
  /** Distinguishes machines of the same module. */
  readonly instance?: string;
  readonly create: (options: Options) => Machine;
  readonly options: Options;
  /** Methods other than `handle` that change state. */
  readonly calls?: readonly string[];
}

/** Creates a state machine, wrapped in a recorder if a trace is written. */
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
      instance: makeInstanceName(source, created),
      nowMs: options.clock.nowMs(),
      write,
    });
}

/** Gives a machine that replaces an earlier one a distinct instance name. */
function makeInstanceName(
  { module, instance }: { readonly module: string; readonly instance?: string },
  created: Map<string, number>,
): string | undefined {
  const name = `${module}/${instance ?? ""}`;
  const count = (created.get(name) ?? 0) + 1;
  created.set(name, count);
  return count === 1 ? instance : `${instance ?? ""}#${count}`;
}

/**
 * Opens a trace file. Lines are written synchronously, so that the file holds
 * all lines up to a crash or a kill. Recording stops if a write fails.
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
      log.warn(
        { error: String(error) },
        "Cannot write to the trace file; recording stopped.",
      );
    }
  };
}
