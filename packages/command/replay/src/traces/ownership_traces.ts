/**
 * Traces of owners that fail.
 *
 * @module
 */

import { strict as assert } from "node:assert";
import { RESOURCE, Simulation } from "./simulation.ts";
import type { SimulatedProcess, SimulationOptions } from "./simulation.ts";

/** Time in which `a` opens the resource and `b` becomes its deputy. */
const SETTLE_MS = 7_000;
const LEASE_MS = 10_000;
const OTHER_RESOURCE = "groups/slot-finder/zapad";

/** The deputy opens the resource after the owner's last lease has ended. */
export function recordTakeover(): string[] {
  const { simulation, a, b } = startSimulation();
  const authorityEndMs = simulation.getAuthorityUntilMs(a);
  a.state = "ended";
  simulation.runFor(15_000);
  assert(b.openedAtMs > authorityEndMs);
  assert(simulation.getAuthorityUntilMs(b) > simulation.nowMs);
  return simulation.lines;
}

/** An owner that wakes late closes before anything else and joins again. */
export function recordFrozenOwner(): string[] {
  const { simulation, a, b } = startSimulation();
  const formerIncarnation = a.machine.incarnation();
  a.state = "frozen";
  simulation.runFor(15_000);
  assert(b.openedAtMs > 0);
  simulation.resume(a);
  assert.equal(a.closedAtMs, simulation.nowMs);
  assert.equal(simulation.getAuthorityUntilMs(a), 0);
  simulation.runFor(3_000);
  assert(a.machine.incarnation() > formerIncarnation);
  assert(hasAction(a, "rejoined"));
  return simulation.lines;
}

/** Promises of the deputy keep the owner in charge without the store. */
export function recordStoreOutage(): string[] {
  const { simulation, a, b } = startSimulation();
  simulation.disconnectedFromStore.add(a).add(b);
  simulation.runFor(LEASE_MS + 6_000);
  assert(simulation.getAuthorityUntilMs(a) > simulation.nowMs);
  assert(
    b.emittedActions.some((action) =>
      action.type === "answer_promise" && action.granted
    ),
  );
  simulation.disconnectedFromStore.clear();
  simulation.runFor(4_000);
  assert.equal(a.closedAtMs, 0);
  assert.equal(b.openedAtMs, 0);
  return simulation.lines;
}

/**
 * An owner without the store keeps one resource by promises, while its deputy
 * gets no request for the other one, takes it and revokes the owner's session.
 * The owner learns of it from the store, closes and starts over.
 */
export function recordRevokedSession(): string[] {
  const { simulation, a, b } = startSimulation({
    resources: [RESOURCE, OTHER_RESOURCE],
    recorded: ["a"],
  });
  const authorityEndMs = simulation.getAuthorityUntilMs(a, OTHER_RESOURCE);
  simulation.disconnectedFromStore.add(a);
  simulation.lossyResources.add(OTHER_RESOURCE);
  simulation.runFor(13_000);
  assert(b.openedAtMs > authorityEndMs);
  assert(simulation.getAuthorityUntilMs(b, OTHER_RESOURCE) > simulation.nowMs);
  assert(simulation.getAuthorityUntilMs(a) > simulation.nowMs);
  const promisedEndMs = simulation.getAuthorityUntilMs(a);
  simulation.disconnectedFromStore.clear();
  simulation.runFor(3_000);
  assert(
    a.emittedActions.some((action) =>
      action.type === "closed" && action.reason === "session-revoked"
    ),
  );
  simulation.runFor(12_000);
  assert(hasAction(a, "rejoined"));
  const owner = [a, b].find((process) =>
    simulation.getAuthorityUntilMs(process) > 0
  );
  assert(owner !== undefined && owner.openedAtMs > promisedEndMs);
  return simulation.lines;
}

function startSimulation(options?: SimulationOptions) {
  const simulation = new Simulation(options);
  const { a, b } = simulation;
  simulation.runFor(SETTLE_MS);
  const owner = a.machine.ownerOf(RESOURCE);
  assert(simulation.getAuthorityUntilMs(a) > simulation.nowMs);
  assert.equal(owner?.deputy, b.machine.incarnation());
  return { simulation, a, b };
}

function hasAction(process: SimulatedProcess, type: string): boolean {
  return process.emittedActions.some((action) => action.type === type);
}
