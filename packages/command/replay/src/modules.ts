/**
 * State machines that can be replayed.
 *
 * @module
 */

import { createClaims } from "@dotterelmoor/core.claiming";
import { createConfigurationReplica } from "@dotterelmoor/core.configuring";
import { createDispatcher } from "@dotterelmoor/core.dispatching";
import { createMembership } from "@dotterelmoor/core.membership";
import { createOwnership } from "@dotterelmoor/core.ownership";
import {
  createPermitHolder,
  createPermitLedger,
} from "@dotterelmoor/core.permitting";
import { createQuarantine } from "@dotterelmoor/core.quarantine";
import { createRetryBudget } from "@dotterelmoor/core.retrying";
import { createShiftGate } from "@dotterelmoor/core.shifting";
import type { Random, StateMachine } from "@dotterelmoor/core.types";

/** A state machine whose events and actions come from a trace. */
export type AnyMachine = StateMachine<unknown, unknown>;

/** Options from a trace, and a source of the recorded random numbers. */
export interface ReplayedOptions {
  readonly random: Random;
  readonly [name: string]: unknown;
}

/** Creates a state machine from the options in a trace. */
export type ModuleFactory = (options: ReplayedOptions) => AnyMachine;

/** Factories by module name: a package in `core`, and its part where needed. */
export const MODULES: Readonly<Record<string, ModuleFactory>> = {
  claiming: makeFactory(createClaims),
  configuring: makeFactory(createConfigurationReplica),
  dispatching: makeFactory(createDispatcher),
  membership: makeFactory(createMembership),
  ownership: makeFactory(createOwnership),
  "permitting/holder": makeFactory(createPermitHolder),
  "permitting/ledger": makeFactory(createPermitLedger),
  quarantine: makeFactory(createQuarantine),
  retrying: makeFactory(createRetryBudget),
  shifting: makeFactory(createShiftGate),
};

/** Erases the types; a malformed trace shows up as a difference or an error. */
function makeFactory<Options, Event, Action>(
  create: (options: Options) => StateMachine<Event, Action>,
): ModuleFactory {
  return create as unknown as ModuleFactory;
}
