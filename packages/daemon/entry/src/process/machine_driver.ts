/**
 * Sends events to a state machine and passes its actions to handlers.
 *
 * @module
 */

import type { DisposableStore, StateMachine } from "@dotterelmoor/core.types";
import type { Clock } from "./clock.ts";

/** One handler for each type of action. */
export type ActionHandlers<Action extends { readonly type: string }> = {
  readonly [T in Action["type"]]: (
    action: Extract<Action, { readonly type: T }>,
  ) => void;
};

/** Options of `createMachineDriver`. */
export interface MachineDriverOptions<
  Event,
  Action extends { readonly type: string },
> {
  readonly machine: StateMachine<Event, Action>;
  readonly handlers: ActionHandlers<Action>;
  readonly clock: Clock;
  /** Sends an event when work of the machine is due. */
  readonly wake?: WakeOptions<Event>;
}

/** When and how to wake a machine. */
export interface WakeOptions<Event> {
  readonly nextMs: () => number | undefined;
  readonly event: Event;
  readonly store: DisposableStore;
}

/** Processes events and their actions synchronously and in order. */
export interface MachineDriver<Event> {
  send(event: Event): void;
}

/** Creates the driver of one state machine. */
export function createMachineDriver<
  Event,
  Action extends { readonly type: string },
>(options: MachineDriverOptions<Event, Action>): MachineDriver<Event> {
  const { machine, handlers, clock } = options;
  const pending: Event[] = [];
  let isProcessing = false;
  const wake = options.wake && createWake(options.wake, clock, send);

  function run(event: Event): void {
    for (const action of machine.handle(event, clock.nowMs())) {
      const handler = handlers[action.type as Action["type"]] as (
        action: Action,
      ) => void;
      handler(action);
    }
  }

  // Events that handlers send are queued until the current one is processed.
  function send(event: Event): void {
    pending.push(event);
    if (isProcessing) return;
    isProcessing = true;
    try {
      while (pending.length > 0) run(pending.shift()!);
    } finally {
      isProcessing = false;
    }
    wake?.();
  }

  return { send };
}

/** Maximum delay of a Node.js timer. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Returns a function that schedules the next wake event. */
function createWake<Event>(
  options: WakeOptions<Event>,
  clock: Clock,
  send: (event: Event) => void,
): () => void {
  let timer: ReturnType<typeof setTimeout> | undefined;
  let dueMs: number | undefined;
  options.store.add(() => clearTimeout(timer));
  return () => {
    const nextMs = options.nextMs();
    if (nextMs === dueMs && timer !== undefined) return;
    clearTimeout(timer);
    timer = undefined;
    dueMs = nextMs;
    if (nextMs === undefined) return;
    const delayMs = Math.max(Math.ceil(nextMs - clock.nowMs()), 1);
    timer = setTimeout(() => {
      timer = undefined;
      send(options.event);
    }, Math.min(delayMs, MAX_TIMER_MS));
  };
}
