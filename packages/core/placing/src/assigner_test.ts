import test from "ava";
import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { Assigner, AssignmentTable } from "./mod.ts";

function makeServer(
  id: string,
  coldUntilMs = -Infinity,
  region = "a",
): TrackedServer {
  return {
    record: {
      id,
      service: "desk",
      address: "10.0.0.1:80",
      zone: "a-1",
      slots: 4,
      state: "ready",
      coldMs: 0,
      bornMs: 1,
      sequence: 1,
    },
    region,
    coldUntilMs,
    missingSinceMs: undefined,
  };
}

const ANYWHERE = { keepsHome: () => false, measureBusyShare: () => 0.9 };

const SERVERS = [...Array(10).keys()].map((index) => makeServer(`s${index}`));
const KEYS = [...Array(25).keys()].map((index) => `desk\nr1 ${index}`);

function createAssigner(keys = KEYS, servers = SERVERS) {
  const assigner = new Assigner(new AssignmentTable("p1"));
  const update = (nowMs: number, current = servers) => {
    assigner.addUses("a", keys, nowMs);
    assigner.update({ ...ANYWHERE, findServers: () => current, nowMs });
  };
  return { assigner, update };
}

function countHeld({ table }: Assigner): Map<string, number> {
  const held = new Map<string, number>();
  for (const key of KEYS) {
    const id = table.find(key) ?? "none";
    held.set(id, (held.get(id) ?? 0) + 1);
  }
  return held;
}

// Objects at their first server by hash would leave some servers with too many.
test("guards against objects that are spread unevenly over servers", (t) => {
  const { assigner, update } = createAssigner();
  update(0);
  const held = [...countHeld(assigner).values()];
  t.is(held.length, 10);
  t.true(Math.min(...held) >= 2);
  t.true(Math.max(...held) <= 3);
});

test("guards against a lost server whose removal moves the objects of others", (t) => {
  const { assigner, update } = createAssigner();
  update(0);
  const before = new Map(KEYS.map((key) => [key, assigner.table.find(key)]));
  update(100, SERVERS.slice(1));
  for (const key of KEYS) {
    const after = assigner.table.find(key);
    if (before.get(key) === "s0") t.not(after, "s0");
    else t.is(after, before.get(key));
  }
});

test("guards against new servers without objects, and objects at cold servers", (t) => {
  const { assigner, update } = createAssigner();
  update(0, SERVERS.slice(0, 5));
  const joined = [...SERVERS.slice(0, 5), makeServer("s9", 5_000)];
  for (let nowMs = 1_000; nowMs < 5_000; nowMs += 500) update(nowMs, joined);
  t.is(countHeld(assigner).get("s9"), undefined);
  let moved = 0;
  for (let nowMs = 5_000; nowMs < 10_000; nowMs += 500) {
    const before = countHeld(assigner).get("s9") ?? 0;
    update(nowMs, joined);
    const after = countHeld(assigner).get("s9") ?? 0;
    moved = Math.max(moved, after - before);
  }
  t.is(moved, 1);
  t.true(countHeld(assigner).get("s9")! >= 3);
});

test("guards against objects that leave their region while it has room", (t) => {
  const regions = ["a", "b", "c"];
  const sizes = [1, 4, 5];
  const servers = regions.flatMap((region, index) =>
    [...Array(sizes[index]).keys()].map((number) =>
      makeServer(`${region}${number}`, -Infinity, region)
    )
  );
  const assign = (keepsHome: boolean) => {
    const assigner = new Assigner(new AssignmentTable("p1"));
    for (let index = 0; index < 20; index++) {
      for (const region of regions) {
        assigner.addUses(region, [`desk\nr1 ${region}${index}`], index);
      }
      assigner.update({
        findServers: () => servers,
        keepsHome: () => keepsHome,
        measureBusyShare: () => 0.9,
        nowMs: index,
      });
    }
    const count = (home: string, place: string) =>
      [...Array(20).keys()].filter((index) =>
        assigner.table.find(`desk\nr1 ${home}${index}`)?.startsWith(place)
      ).length;
    return { assigner, count };
  };
  const shared = assign(false);
  // The even share is 6 objects for each server.
  t.true(shared.count("a", "a") >= 5 && shared.count("a", "a") <= 7);
  t.true(shared.count("b", "b") >= 17);
  t.true(shared.count("c", "c") >= 18);
  const near = assign(true);
  for (const region of regions) t.is(near.count(region, region), 20);
});

test("guards against unused objects that keep their assignment", (t) => {
  const { assigner, update } = createAssigner();
  update(0);
  assigner.addUses("a", [KEYS[0]!], 15_000);
  assigner.update({ ...ANYWHERE, findServers: () => SERVERS, nowMs: 21_000 });
  t.truthy(assigner.table.find(KEYS[0]!));
  t.is(assigner.table.find(KEYS[1]!), undefined);
});

test("guards against objects that move when another entry takes over the assignment", (t) => {
  const { assigner, update } = createAssigner();
  update(0);
  const copy = new AssignmentTable();
  copy.apply(assigner.table.changesSince(copy.position));
  const next = new Assigner(copy.fork("p2"));
  next.addUses("a", KEYS, 100);
  next.update({ ...ANYWHERE, findServers: () => SERVERS, nowMs: 100 });
  for (const key of KEYS) t.is(next.table.find(key), assigner.table.find(key));
  // A copy of the first table gets the whole second one.
  const changes = next.table.changesSince(copy.position);
  t.true(changes.isComplete);
});

test("guards against changes that a copy of the table, or a copy of it, misses", (t) => {
  const original = new AssignmentTable("p1");
  const copy = new AssignmentTable();
  const second = new AssignmentTable();
  const follow = () => {
    copy.apply(original.changesSince(copy.position));
    second.apply(copy.changesSince(second.position));
  };
  original.set("a", "s1");
  original.set("b", "s2");
  follow();
  original.set("a", "s3");
  original.remove("b");
  const changes = original.changesSince(copy.position);
  t.false(changes.isComplete);
  t.is(changes.assignments.length, 2);
  follow();
  for (const table of [copy, second]) {
    t.is(table.find("a"), "s3");
    t.is(table.find("b"), undefined);
  }
});
