/**
 * State machines of an owned group.
 *
 * @module
 */

import { createDispatcher } from "@dotterelmoor/core.dispatching";
import type { Dispatcher } from "@dotterelmoor/core.dispatching";
import { createRetryBudget } from "@dotterelmoor/core.retrying";
import type { RetryBudget } from "@dotterelmoor/core.retrying";
import { createShiftGate } from "@dotterelmoor/core.shifting";
import type { ShiftGate } from "@dotterelmoor/core.shifting";
import type { GroupOwnerOptions } from "./group_owner_types.ts";

/** Limits on the requests of a group. */
export interface GroupLimits {
  readonly concurrency: number;
  readonly queueLength: number;
}

/** Options of `createGroupMachines`. */
export interface GroupMachinesOptions {
  readonly startedAtMs: number;
  /** Maximum wait of an admitted shifted request for its server. */
  readonly jitterMs: number;
  readonly transitMs: number;
  readonly limits: GroupLimits;
}

/** State machines of a group: shift cap, retry budget and dispatcher. */
export interface GroupMachines {
  readonly gate: ShiftGate;
  readonly budget: RetryBudget;
  readonly dispatcher: Dispatcher;
}

/** Creates the machines of a group. */
export function createGroupMachines(
  group: GroupOwnerOptions,
  options: GroupMachinesOptions,
): GroupMachines {
  const { createMachine, document, random } = group;
  const { startedAtMs, jitterMs, transitMs, limits } = options;
  const instance = `${group.service}/${group.region}/${group.fence}`;
  return {
    gate: createMachine({
      module: "shifting",
      instance,
      create: createShiftGate,
      options: { limits: document.shift, startedAtMs, jitterMs },
    }),
    budget: createMachine({
      module: "retrying",
      instance,
      create: createRetryBudget,
      options: { limits: document.retry },
    }),
    dispatcher: createMachine({
      module: "dispatching",
      instance,
      create: createDispatcher,
      options: { random, transitMs, ...limits },
    }),
  };
}
