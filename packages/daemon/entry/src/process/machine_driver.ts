/**
 * Feeds events to a state machine and hands its actions to handlers.
 *
 * @module
 */

import type { StateMachine } from "@dotterelmoor/core.types";
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
}

/** Applies events in order, each with its actions, within the same turn. */
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
  let draining = false;

  function run(event: Event): void {
    for (const action of machine.handle(event, clock.nowMs())) {
      const handler = handlers[action.type as Action["type"]] as (
        action: Action,
      ) => void;
      handler(action);
    }
  }

  return {
    // Handlers may send further events; those run after the current one.
    send(event) {
      pending.push(event);
      if (draining) return;
      draining = true;
      try {
        while (pending.length > 0) run(pending.shift()!);
      } finally {
        draining = false;
      }
    },
  };
}
