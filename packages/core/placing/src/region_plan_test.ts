import test from "ava";
import { RegionPlan } from "./region_plan.ts";

const ROOMS = [
  { region: "home", slots: 6 },
  { region: "near", slots: 12 },
  { region: "far", slots: 18 },
];

/** A service whose answers from other regions come too late. */
const AT_HOME = { isFarInTime: false, coldDemandSlots: 0 };

const OBJECTS = [...Array(2_000).keys()].map((index) => `object ${index}`);

function choose(
  plan: RegionPlan,
  object: string,
  allowedRegions: readonly string[] = [],
): string | undefined {
  return plan.isHome(object, allowedRegions)
    ? "home"
    : plan.chooseShared(object, allowedRegions);
}

function chooseAll(plan: RegionPlan): (string | undefined)[] {
  return OBJECTS.map((object) => choose(plan, object));
}

function measureShare(plan: RegionPlan, region: string): number {
  return chooseAll(plan).filter((chosen) => chosen === region).length /
    OBJECTS.length;
}

function update(plan: RegionPlan, demandSlots: number, steps: number): void {
  for (let step = 0; step < steps; step++) {
    plan.update({ ...AT_HOME, demandSlots, rooms: ROOMS, maxStep: 0.02 });
  }
}

test("guards against requests that change region faster than their bound", (t) => {
  const plan = new RegionPlan("home", 0);
  update(plan, 4, 1);
  for (const demandSlots of [4, 20, 1]) {
    for (let step = 0; step < 60; step++) {
      const before = chooseAll(plan);
      update(plan, demandSlots, 1);
      const after = chooseAll(plan);
      const moved = after.filter((region, index) => region !== before[index]);
      t.true(moved.length / OBJECTS.length < 0.035);
    }
  }
});

test("guards against objects that are cold in every region after a start", (t) => {
  const plans = ["home", "near", "far"].map((home) => new RegionPlan(home, 0));
  for (const plan of plans) {
    plan.update({ ...AT_HOME, demandSlots: 9, rooms: ROOMS, maxStep: 0 });
  }
  const [first, ...others] = plans.map(chooseAll);
  for (const other of others) t.deepEqual(other, first);
});

test("guards against work that stays away while there is room at home", (t) => {
  const plan = new RegionPlan("home", 0);
  update(plan, 4, 100);
  t.is(measureShare(plan, "home"), 1);
});

test("guards against objects that go home where they would be cold", (t) => {
  const plan = new RegionPlan("home", 0);
  const shared = { isFarInTime: true, demandSlots: 2, rooms: ROOMS };
  for (let step = 0; step < 400; step++) {
    plan.update({ ...shared, coldDemandSlots: 9, maxStep: 0.02 });
  }
  // Three quarters of its slots carry half of the requests cold.
  t.true(Math.abs(measureShare(plan, "home") - 0.5) < 0.04);
  for (let step = 0; step < 400; step++) {
    plan.update({ ...shared, coldDemandSlots: 2, maxStep: 0.02 });
  }
  t.is(measureShare(plan, "home"), 1);
});

test("guards against more demand at home than its slots carry", (t) => {
  const plan = new RegionPlan("home", 1);
  update(plan, 9, 100);
  t.true(Math.abs(measureShare(plan, "home") - 0.5) < 0.04);
  t.true(measureShare(plan, "far") > 1.2 * measureShare(plan, "near"));
});

test("guards against objects that move although their regions stayed", (t) => {
  const plan = new RegionPlan("home", 0);
  update(plan, 20, 1);
  const before = chooseAll(plan);
  const rooms = ROOMS.map((room) =>
    room.region === "far" ? { ...room, slots: 15 } : room
  );
  plan.update({ ...AT_HOME, demandSlots: 20, rooms, maxStep: 0 });
  chooseAll(plan).forEach((region, index) => {
    if (region !== before[index]) t.is(before[index], "far");
  });
});

test("guards against regions without servers and regions not allowed", (t) => {
  const plan = new RegionPlan("home", 1);
  const rooms = [{ region: "home", slots: 0 }, { region: "far", slots: 3 }];
  plan.update({ ...AT_HOME, demandSlots: 1, rooms, maxStep: 0.02 });
  t.is(choose(plan, "x"), "far");
  t.is(choose(plan, "x", ["home"]), undefined);
});
