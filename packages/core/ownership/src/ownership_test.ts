import test from "ava";
import fc from "fast-check";
import { spreadInstances } from "./rendezvous.ts";
import {
  assertSingleOwners,
  type Process,
  RESOURCES,
  World,
} from "./world_fixture.ts";

interface Fault {
  readonly kind: keyof typeof FAULTS;
  readonly atMs: number;
  readonly target: number;
  readonly durationMs: number;
  /** Bit mask of the processes whose messages are cut. */
  readonly mask: number;
  readonly delayShare: number;
}

const FAULTS = {
  freeze: (world: World, process: Process, fault: Fault) =>
    world.freeze(process, fault.durationMs),
  kill: (world: World, process: Process, fault: Fault) => {
    process.state = "ended";
    world.time.after(fault.durationMs, () => world.addProcess());
  },
  restart: (world: World, process: Process, fault: Fault) => {
    process.state = "ended";
    world.time.after(fault.durationMs, () => world.addProcess(process));
  },
  leave: (world: World, process: Process, fault: Fault) => {
    world.deliver(process, { type: "leave" });
    world.time.after(fault.durationMs, () => world.addProcess());
  },
  outage: (world: World, _process: Process, fault: Fault) => {
    world.storeLoss = 1;
    world.time.after(fault.durationMs, () => void (world.storeLoss = 0));
  },
  flaky: (world: World, _process: Process, fault: Fault) => {
    world.storeLoss = 0.4;
    world.time.after(fault.durationMs, () => void (world.storeLoss = 0));
  },
  storeCut: (world: World, process: Process, fault: Fault) => {
    process.lossRate = 1;
    world.time.after(fault.durationMs, () => void (process.lossRate = 0));
  },
  messageLoss: (world: World, _process: Process, fault: Fault) => {
    world.messageLoss = 0.5;
    world.time.after(fault.durationMs, () => void (world.messageLoss = 0));
  },
  /** Cuts the store, and later the messages to some other processes. */
  isolate: (world: World, process: Process, fault: Fault) => {
    FAULTS.storeCut(world, process, fault);
    const links = world.processes
      .filter(({ index }) => (fault.mask >> (index % 5)) & 1)
      .map(({ index }) => `${process.index}>${index}`);
    world.time.after(
      fault.durationMs * fault.delayShare,
      () => links.forEach((link) => world.cuts.add(link)),
    );
    world.time.after(
      fault.durationMs,
      () => links.forEach((link) => world.cuts.delete(link)),
    );
  },
};

const RUN_MS = 150_000;

/** Short intervals, so that rebalancing moves resources often within a run. */
const QUICK_REBALANCING = { rebalanceMs: 1_000, settleMs: 1_500 };

// Shrinking a run of 255 s takes longer than the time limit of a test.
const RUN = { seed: 20261204, includeErrorInReport: true, endOnFailure: true };

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom(...Object.keys(FAULTS) as Fault["kind"][], "isolate"),
  atMs: fc.integer({ min: 2_000, max: RUN_MS }),
  target: fc.nat(50),
  durationMs: fc.oneof(
    fc.integer({ min: 500, max: 15_000 }),
    fc.integer({ min: 9_000, max: 45_000 }),
  ),
  mask: fc.integer({ min: 1, max: 31 }),
  delayShare: fc.constantFrom(0, 0.3, 0.6),
});

function submitFaults(world: World, faults: readonly Fault[]): void {
  for (const fault of faults) {
    world.time.after(fault.atMs, () => {
      const present = world.processes.filter(({ state }) => state !== "ended");
      const process = present[fault.target % present.length];
      if (process !== undefined) FAULTS[fault.kind](world, process, fault);
    });
  }
}

const seedArbitrary = fc.integer({ min: 0, max: 0x7fffffff });

// A frozen process, a lost message or a late write may let a second process
// take over while requests of the first owner still run.
test("guards against two owners of one resource at the same true time", (t) => {
  const property = fc.property(
    seedArbitrary,
    fc.integer({ min: 2, max: 5 }),
    fc.array(faultArbitrary, { minLength: 3, maxLength: 25 }),
    (seed, count, faults) => {
      const world = new World(seed, count, { timings: QUICK_REBALANCING });
      submitFaults(world, faults);
      world.time.runUntil(RUN_MS + 45_000 + 60_000);
      assertSingleOwners(world);
    },
  );
  fc.assert(property, { ...RUN, numRuns: 300 });
  t.pass();
});

// The first member takes all resources before others join. Rebalancing must
// spread them and then stop moving them.
test("guards against resources that gather on the first member or keep moving", (t) => {
  // 13 resources do not divide evenly, so that a difference of 1 remains.
  const counts = fc.constantFrom(12, 13);
  const property = fc.property(seedArbitrary, counts, (seed, length) => {
    const resources = Array.from(
      { length },
      (_, index) => `groups/service-${index}/zapad`,
    );
    const world = new World(seed, 1, { resources, timings: {} });
    for (let index = 1; index < 6; index++) {
      world.time.after(index * 5_000, () => world.addProcess());
    }
    world.time.runUntil(180_000);
    assertSingleOwners(world);
    const owned = world.processes.map((p) => p.machine.owned().length);
    if (owned.some((count) => count < 1 || count > 3)) {
      throw new Error(`Resources per member: ${owned.join(", ")}`);
    }
    const { moves } = world;
    world.time.runUntil(480_000);
    assertSingleOwners(world);
    if (world.moves > moves) throw new Error(`${world.moves - moves} moves`);
  });
  fc.assert(property, { ...RUN, numRuns: 10 });
  t.pass();
});

// The successor ends while the owner drains. The owner must keep the resource.
test("guards against a resource given to a member that ended meanwhile", (t) => {
  let cancelled = 0;
  const property = fc.property(seedArbitrary, (seed) => {
    const world = new World(seed, 1, { timings: { settleMs: 5_000 } });
    world.time.after(3_000, () => world.addProcess());
    while (world.drains === 0) world.time.runUntil(world.time.nowMs + 100);
    world.processes[1]!.state = "ended";
    world.time.runUntil(world.time.nowMs + 3_000);
    if (world.moves > 0) return;
    cancelled++;
    assertSingleOwners(world);
  });
  fc.assert(property, { ...RUN, numRuns: 40 });
  t.true(cancelled > 5, `${cancelled} handovers were cancelled`);
});

// Without a clean exit, the lease must lapse before another process takes over.
test("guards against a killed owner's resource staying closed over 15 s", (t) => {
  const property = fc.property(
    seedArbitrary,
    fc.integer({ min: 2, max: 6 }),
    fc.integer({ min: 15_000, max: 19_000 }),
    (seed, count, killMs) => {
      const world = new World(seed, count);
      world.time.runUntil(killMs);
      const [owner] = world.owners(RESOURCES[0]!);
      owner!.state = "ended";
      world.time.runUntil(killMs + 15_000);
      assertSingleOwners(world);
    },
  );
  fc.assert(property, { ...RUN, numRuns: 100 });
  t.pass();
});

// Owner and deputy have both ended, so no promise can be ruled out before the
// list or the reused address shows that they are gone.
test("guards against a region that stays closed after a restart of all", (t) => {
  const property = fc.property(seedArbitrary, fc.boolean(), (seed, isSame) => {
    const world = new World(seed, 4);
    world.time.runUntil(20_000);
    for (const process of world.processes.slice()) {
      process.state = "ended";
      world.addProcess(isSame ? process : undefined);
    }
    world.time.runUntil(20_000 + 45_000);
    assertSingleOwners(world);
  });
  fc.assert(property, { ...RUN, numRuns: 40 });
  t.pass();
});

// Session leases lapse in the outage; the promises of deputies must keep the
// owners open, also while rebalancing and just after the outage.
test("guards against an owner that stops in a store outage of 10 minutes", (t) => {
  const property = fc.property(seedArbitrary, fc.boolean(), (seed, moves) => {
    const world = new World(seed, 4, moves ? { timings: {} } : {});
    world.time.runUntil(20_000);
    const owners = RESOURCES.map((name) => world.owners(name)[0]);
    world.storeLoss = 1;
    const isUnchanged = () =>
      RESOURCES.every((name, index) => world.owners(name)[0] === owners[index]);
    for (let second = 0; second < (moves ? 600 : 660); second++) {
      if (second === 600) world.storeLoss = 0;
      world.time.runUntil(world.time.nowMs + 1_000);
      if (!isUnchanged()) return false;
    }
    return world.violations.length === 0;
  });
  fc.assert(property, { ...RUN, numRuns: 20 });
  t.pass();
});

// An owner that leaves must hand over after draining instead of letting its
// lease lapse.
test("guards against a gap over 3 s when the owner leaves", (t) => {
  const property = fc.property(seedArbitrary, (seed) => {
    const world = new World(seed, 4);
    world.time.runUntil(20_000);
    const [owner] = world.owners(RESOURCES[0]!);
    world.deliver(owner!, { type: "leave" });
    // The simulated caller reports `drained` within 2 s.
    world.time.runUntil(25_000);
    assertSingleOwners(world);
    return owner!.state === "ended";
  });
  fc.assert(property, { ...RUN, numRuns: 50 });
  t.pass();
});

// An operator releases the resource in the table; the owner learns it only when
// it reads the row.
test("guards against work of a released owner beside the next owner", (t) => {
  const property = fc.property(seedArbitrary, (seed) => {
    const world = new World(seed, 4);
    world.time.runUntil(20_000);
    const [resource] = RESOURCES;
    const row = world.table.read(resource!).value as object;
    world.table.write(resource!, { ...row, owner: 0 });
    world.time.runUntil(22_000);
    if (world.owners(resource!).length > 0) throw new Error("Not closed");
    world.time.runUntil(36_000);
    assertSingleOwners(world);
  });
  fc.assert(property, { ...RUN, numRuns: 30 });
  t.pass();
});

// A hash that barely spreads the last characters of the names prefers a few.
test("guards against ownership that gathers on few instances", (t) => {
  const instances = Array.from({ length: 6 }, (_, index) => `entry-${index}`);
  const firsts = Array.from(
    { length: 1_200 },
    (_, index) =>
      spreadInstances(`groups/service-${index}/zapad`, instances)[0],
  );
  for (const instance of instances) {
    const count = firsts.filter((first) => first === instance).length;
    t.true(Math.abs(count - 200) < 50, `${instance} is first ${count} times`);
  }
});
