import test from "ava";
import { RegionSigns } from "./region_signs.ts";

test("guards against a lost region that slow processes keep alive for each other", (t) => {
  const processes = [new RegionSigns(4_000), new RegionSigns(4_000)];
  processes[0]!.note("b", 0);
  // Each message is in transit as long as the pause between messages, so that
  // the age does not grow.
  let nowMs = 0;
  for (let hop = 0; hop < 100; hop += 1) {
    const signs = processes[hop % 2]!.read(nowMs);
    nowMs += 300;
    processes[(hop + 1) % 2]!.merge(signs ?? {}, nowMs);
  }
  t.true(processes.every((signs) => !signs.isAlive("b", 10 * 300 + 4_001)));
});

test("guards against older signs that revive a region whose last entry left", (t) => {
  const signs = new RegionSigns(4_000);
  signs.note("b", 1_000);
  signs.noteEmpty("b", 2_000);
  signs.merge({ b: [500, 1] }, 2_100);
  t.false(signs.isAlive("b", 2_100));
  t.is(signs.read(2_100), undefined);
  signs.merge({ b: [50, 1] }, 2_200);
  t.true(signs.isAlive("b", 2_200));
});

test("guards against messages that grow with the number of regions", (t) => {
  const signs = new RegionSigns(4_000);
  for (let n = 0; n < 40; n += 1) signs.note(`r${n}`, n);
  const named = Object.keys(signs.read(100)!);
  t.is(named.length, 16);
  t.is(named[0], "r39");
});

test("guards against signs that are never removed", (t) => {
  const signs = new RegionSigns(4_000);
  signs.note("b", 0);
  signs.expire(4_001);
  t.false(signs.isAlive("b", 0));
});
