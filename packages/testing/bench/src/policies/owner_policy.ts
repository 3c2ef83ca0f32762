/**
 * Policy of the product: every request goes to the owner of its group.
 *
 * @module
 */

import { GroupOwner } from "./group_owner.ts";
import type { LimitControl } from "./limit_control.ts";
import { computeDelayMs, REGION_COUNT } from "./world.ts";
import type {
  CallerResult,
  ModelEntry,
  ModelGroup,
  ModelRequest,
  Policy,
  World,
} from "./world.ts";

/** Options of `makeOwnerPolicy`. */
export interface OwnerPolicyOptions {
  /** Makes the limit control of an owner; by default limits are fixed. */
  readonly makeControl?: () => LimitControl;
}

/**
 * Makes a policy that sends each request to the owner of its group, or to the
 * owner in another region while the group has none alive.
 */
export function makeOwnerPolicy(
  world: World,
  options: OwnerPolicyOptions = {},
): Policy {
  return new OwnerPolicy(world, options);
}

type OnEnd = (result: CallerResult) => void;

class OwnerPolicy implements Policy {
  readonly #world: World;
  readonly #options: OwnerPolicyOptions;
  readonly #owners = new Map<ModelGroup, GroupOwner>();
  /** Callbacks of the requests that wait for a response of an owner. */
  readonly #pending: ReadonlyMap<ModelEntry, Set<OnEnd>>;

  constructor(world: World, options: OwnerPolicyOptions) {
    this.#world = world;
    this.#options = options;
    this.#pending = new Map(world.entries.map((entry) => [entry, new Set()]));
    for (const group of world.groups) {
      this.#start(group, world.listEntries(group.region)[group.service]!);
    }
  }

  submit(request: ModelRequest, onEnd: OnEnd): void {
    const { clock } = this.#world;
    const owner = findOwner(this.#world, this.#owners, request.group);
    const { entry } = owner;
    const delayMs = computeDelayMs(request.entry, entry);
    const pending = this.#pending.get(entry)!.add(onEnd);
    const end = (result: CallerResult) =>
      clock.runAfter(delayMs, () => {
        if (pending.delete(onEnd)) onEnd(result);
      });
    clock.runAfter(delayMs, () => {
      if (!entry.alive) end("refused");
      else if (entry.region === request.group.region) {
        owner.submit(request, end);
      } else owner.submitShifted(request, end);
    });
  }

  kill(entry: ModelEntry): void {
    const pending = this.#pending.get(entry)!;
    // Their outcome is unknown, as the owner may have sent them to a server.
    for (const onEnd of pending) onEnd("failed");
    pending.clear();
    for (const [group, owner] of this.#owners) {
      if (owner.entry !== entry) continue;
      const deputy = this.#world.listEntries(group.region).find((other) =>
        other.alive && other.zone !== entry.zone
      );
      this.#world.clock.runAt(
        owner.takeoverMs,
        () => this.#start(group, deputy!),
      );
    }
  }

  #start(group: ModelGroup, entry: ModelEntry): void {
    const control = this.#options.makeControl?.();
    const world = this.#world;
    this.#owners.set(group, new GroupOwner({ world, group, entry, control }));
  }
}

function findOwner(
  world: World,
  owners: ReadonlyMap<ModelGroup, GroupOwner>,
  group: ModelGroup,
): GroupOwner {
  for (let step = 0; step < REGION_COUNT; step++) {
    const region = (group.region + step) % REGION_COUNT;
    const owner = owners.get(world.getGroup(group.service, region))!;
    if (owner.entry.alive) return owner;
  }
  throw new Error(`No owner of service ${group.service} is alive`);
}

/** Time after which lookup answers no longer name a killed entry. */
export const DETECTION_MS = 4_000;
