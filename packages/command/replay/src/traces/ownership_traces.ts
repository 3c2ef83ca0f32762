/**
 * Traces of owners that fail.
 *
 * @module
 */

import { strict as assert } from "node:assert";
import { RESOURCE, World } from "./world.ts";
import type { Process, WorldOptions } from "./world.ts";

/** Time in which `a` opens the resource and `b` becomes its deputy. */
const SETTLE_MS = 7_000;
const LEASE_MS = 10_000;
const OTHER_RESOURCE = "groups/slot-finder/zapad";

/** The deputy opens the resource after the owner's last lease has ended. */
export function recordTakeover(): string[] {
  const { world, a, b } = startWorld();
  const authorityEndMs = world.authorityMs(a);
  a.state = "ended";
  world.runFor(15_000);
  assert(b.openedAtMs > authorityEndMs);
  assert(world.authorityMs(b) > world.nowMs);
  return world.lines;
}

/** An owner that wakes late closes before anything else and joins again. */
export function recordFrozenOwner(): string[] {
  const { world, a, b } = startWorld();
  const formerIncarnation = a.machine.incarnation();
  a.state = "frozen";
  world.runFor(15_000);
  assert(b.openedAtMs > 0);
  world.resume(a);
  assert.equal(a.closedAtMs, world.nowMs);
  assert.equal(world.authorityMs(a), 0);
  world.runFor(3_000);
  assert(a.machine.incarnation() > formerIncarnation);
  assert(hasAction(a, "rejoined"));
  return world.lines;
}

/** Promises of the deputy keep the owner in charge without the store. */
export function recordStoreOutage(): string[] {
  const { world, a, b } = startWorld();
  world.withoutStore.add(a).add(b);
  world.runFor(LEASE_MS + 6_000);
  assert(world.authorityMs(a) > world.nowMs);
  assert(
    b.events.some((event) => event.type === "answer_promise" && event.granted),
  );
  world.withoutStore.clear();
  world.runFor(4_000);
  assert.equal(a.closedAtMs, 0);
  assert.equal(b.openedAtMs, 0);
  return world.lines;
}

/**
 * An owner without the store keeps one resource by promises, while its deputy
 * gets no request for the other one, takes it and revokes the owner's session.
 * The owner learns of it from the store, closes and starts over.
 */
export function recordRevokedSession(): string[] {
  const { world, a, b } = startWorld({
    resources: [RESOURCE, OTHER_RESOURCE],
    recorded: ["a"],
  });
  const authorityEndMs = world.authorityMs(a, OTHER_RESOURCE);
  world.withoutStore.add(a);
  world.lostResources.add(OTHER_RESOURCE);
  world.runFor(13_000);
  assert(b.openedAtMs > authorityEndMs);
  assert(world.authorityMs(b, OTHER_RESOURCE) > world.nowMs);
  assert(world.authorityMs(a) > world.nowMs);
  const promisedEndMs = world.authorityMs(a);
  world.withoutStore.clear();
  world.runFor(3_000);
  assert(
    a.events.some((event) =>
      event.type === "closed" && event.reason === "session-revoked"
    ),
  );
  world.runFor(12_000);
  assert(hasAction(a, "rejoined"));
  const owner = [a, b].find((process) => world.authorityMs(process) > 0);
  assert(owner !== undefined && owner.openedAtMs > promisedEndMs);
  return world.lines;
}

function startWorld(options?: WorldOptions) {
  const world = new World(options);
  const { a, b } = world;
  world.runFor(SETTLE_MS);
  const owner = a.machine.ownerOf(RESOURCE);
  assert(world.authorityMs(a) > world.nowMs);
  assert.equal(owner?.deputy, b.machine.incarnation());
  return { world, a, b };
}

function hasAction(process: Process, type: string): boolean {
  return process.events.some((event) => event.type === type);
}
