/**
 * Our policy: every request goes to the owner of its group.
 *
 * @module
 */

import { GroupOwner } from "./group_owner.ts";
import type { LimitControl } from "./limit_control.ts";
import { computeDelayMs, REGIONS } from "./world.ts";
import type {
  CallerResult,
  ModelEntry,
  ModelGroup,
  ModelRequest,
  Policy,
  World,
} from "./world.ts";

/** Settings of the policy. */
export interface OwnerPolicyOptions {
  readonly makeControl?: () => LimitControl;
}

/** Sends each request to the owner, and to another region while none lives. */
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
  /** Requests that wait for an answer of the entry. */
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
    // Their outcome is unknown: the owner may have sent them.
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
  for (let step = 0; step < REGIONS; step++) {
    const region = (group.region + step) % REGIONS;
    const owner = owners.get(world.getGroup(group.service, region))!;
    if (owner.entry.alive) return owner;
  }
  throw new Error(`No owner of service ${group.service} is alive`);
}

/** Time after which a killed entry is no longer in look-up answers. */
export const DETECTION_MS = 4_000;
