/**
 * Scenarios of owners that fail.
 *
 * @module
 */

import { strict as assert } from "node:assert";
import { RESOURCE, Simulation } from "./simulation.ts";
import type { SimulatedProcess, SimulationOptions } from "./simulation.ts";

/** Time for `a` to open the resource and for `b` to become its deputy. */
const SETTLE_MS = 7_000;
const LEASE_MS = 10_000;
const OTHER_RESOURCE = "groups/slot-finder/zapad";

/** An owner ends; its deputy takes over after the owner's lease has expired. */
export function recordTakeover(): string[] {
  const { simulation, a, b } = startSimulation();
  const authorityEndMs = simulation.getAuthorityUntilMs(a);
  a.state = "ended";
  simulation.runFor(15_000);
  assert(b.openedAtMs > authorityEndMs);
  assert(simulation.getAuthorityUntilMs(b) > simulation.nowMs);
  return simulation.lines;
}

/** An owner frozen past its lease closes when it resumes, and rejoins. */
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

/**
 * During a store outage that outlasts the lease, the deputy's promises not to
 * take over keep the owner's authority valid.
 */
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
 * An owner that cannot reach the store keeps one resource by its deputy's
 * promises. The promise requests for the other resource are lost, so the deputy
 * takes it over and revokes the owner's session. The owner reads this from the
 * store, closes and rejoins.
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
  const owner = a.machine.getOwner(RESOURCE);
  assert(simulation.getAuthorityUntilMs(a) > simulation.nowMs);
  assert.equal(owner?.deputy, b.machine.incarnation());
  return { simulation, a, b };
}

function hasAction(process: SimulatedProcess, type: string): boolean {
  return process.emittedActions.some((action) => action.type === type);
}
