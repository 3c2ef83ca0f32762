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
  const owners = new Map<ModelGroup, GroupOwner>();
  const start = (group: ModelGroup, entry: ModelEntry) => {
    const control = options.makeControl?.();
    owners.set(group, new GroupOwner({ world, group, entry, control }));
  };
  for (const group of world.groups) {
    start(group, world.listEntries(group.region)[group.service]!);
  }
  const lost = new Map<ModelEntry, Set<(result: CallerResult) => void>>();
  return {
    submit(request, onEnd) {
      const owner = findOwner(world, owners, request.group);
      const { entry } = owner;
      const isHome = entry.region === request.group.region;
      const delayMs = computeDelayMs(request.entry, entry);
      const pending = lost.get(entry) ?? new Set();
      lost.set(entry, pending.add(onEnd));
      const end = (result: CallerResult) =>
        world.clock.runAfter(delayMs, () => {
          if (pending.delete(onEnd)) onEnd(result);
        });
      world.clock.runAfter(delayMs, () => {
        if (!entry.alive) return end("refused");
        if (isHome) owner.submit(request, end);
        else owner.submitShifted(request, end);
      });
    },
    kill(entry) {
      // Their outcome is unknown: the owner may have sent them.
      for (const onEnd of lost.get(entry) ?? []) onEnd("failed");
      lost.get(entry)?.clear();
      for (const [group, owner] of owners) {
        if (owner.entry !== entry) continue;
        const deputy = world.listEntries(group.region).find((other) =>
          other.alive && other.zone !== entry.zone
        );
        world.clock.runAt(owner.takeoverMs, () => start(group, deputy!));
      }
    },
  };
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
