import test from "ava";
import { createConfigurationReplica } from "./mod.ts";
import { buildSnapshot, Cluster } from "./simulated_cluster.ts";
import type { Entry } from "./simulated_cluster.ts";

function isGrowing(sequences: readonly number[]): boolean {
  return sequences.every((value, n) => n === 0 || value > sequences[n - 1]!);
}

for (const seed of [1, 2, 3, 4, 5]) {
  test(`guards against a slow or reverted change at 20 entries, seed ${seed}`, (t) => {
    const cluster = new Cluster({ seed, regions: 3, entries: 20, loss: 0.1 });
    cluster.runFor(5_000);
    cluster.storeUp = false;
    for (let sequence = 2; sequence < 12; sequence += 1) {
      const entry = cluster.entries[Math.floor(cluster.random() * 20)]!;
      cluster.commit(entry, sequence);
      const spreadMs = cluster.measureSpread(sequence, 10_000);
      t.true(spreadMs <= 2_000, `${sequence} took ${spreadMs} ms`);
    }
    t.true(cluster.entries.every((entry) => isGrowing(entry.applied)));
  });

  test(`guards against late, duplicate or stale snapshots that revert, seed ${seed}`, (t) => {
    const cluster = new Cluster({
      seed,
      regions: 3,
      entries: 20,
      loss: 0.1,
      delayMs: 3_000,
    });
    cluster.runFor(5_000);
    cluster.isPartitioned = (from, to) =>
      (from.region === 2) !== (to.region === 2);
    cluster.storeUp = false;
    const stale = cluster.entries[4]!;
    stale.cut = true;
    for (let sequence = 2; sequence < 30; sequence += 1) {
      cluster.commit(cluster.entries[0]!, sequence);
      cluster.runFor(200);
    }
    cluster.isPartitioned = () => false;
    stale.cut = false;
    // The stale entry pushes its old snapshot as if it were new.
    const snapshot = stale.replica.current()!;
    for (const entry of cluster.entries) {
      cluster.apply(entry, { type: "snapshot", snapshot, source: "peer" });
    }
    t.true(cluster.measureSpread(29, 30_000) <= 15_000);
    cluster.runFor(10_000);
    t.true(cluster.entries.every((entry) => isGrowing(entry.applied)));
    t.true(cluster.entries.every((e) => e.replica.status().sequence === 29));
  });
}

test("guards against a change that takes more than 6 s at 820 entries", (t) => {
  const cluster = new Cluster({ seed: 6, regions: 7, entries: 820, loss: 0.1 });
  cluster.runFor(2_000);
  cluster.storeReads = 0;
  cluster.runFor(10_000);
  const reads = cluster.storeReads / 10;
  t.true(reads > 4 && reads < 20, `${reads} reads/s`);
  cluster.storeUp = false;
  cluster.commit(cluster.entries[0]!, 2);
  const spreadMs = cluster.measureSpread(2, 10_000);
  t.true(spreadMs <= 6_000, `took ${spreadMs} ms`);
});

// During a store outage, one of the seeds may have missed the last change.
test("guards against serving an old configuration after a cold start", (t) => {
  const cluster = new Cluster({ seed: 7, regions: 1, entries: 4, loss: 0 });
  cluster.runFor(3_000);
  cluster.storeUp = false;
  const [first, second, third] = cluster.entries as [Entry, Entry, Entry];
  first.cut = true;
  cluster.commit(second, 2);
  t.is(cluster.measureSpread(2, 100), Infinity);
  cluster.runFor(3_000);
  first.cut = false;
  second.cut = true;

  const seeds = ["0", "1"];
  const joining = cluster.add(seeds);
  cluster.runFor(1_500);
  t.false(joining.replica.isReady(), "one answer of two seeds is not enough");
  second.cut = false;
  cluster.runFor(3_000);
  t.true(joining.replica.isReady());
  t.is(joining.replica.status().sequence, 2);
  t.true(joining.replica.status().storeSilentSinceMs !== undefined);

  const waiting = cluster.add([]);
  const beside = cluster.add([String(waiting.id), String(waiting.id + 1)]);
  cluster.add([String(beside.id)]);
  cluster.runFor(20_000);
  t.false(waiting.replica.isReady(), "without seeds it waits for the store");
  t.false(beside.replica.isReady(), "seeds that are not ready do not count");
  const single = cluster.add([String(third.id)]);
  cluster.runFor(3_000);
  t.true(single.replica.isReady(), "one answer is enough if one seed is set");
  cluster.storeUp = true;
  cluster.runFor(3_000);
  t.true(cluster.entries.every((entry) => entry.replica.isReady()));
  t.true(cluster.entries.every((e) => e.replica.status().sequence === 2));
  t.is(joining.replica.status().storeSilentSinceMs, undefined);
});

test("guards against serving before the newest known snapshot arrived", (t) => {
  const replica = createConfigurationReplica({
    seeds: ["a", "b"],
    random: () => 0.5,
  });
  replica.handle({ type: "tick" }, 0);
  replica.handle({ type: "store_read", result: "unavailable" }, 10);
  const asked = replica.handle({ type: "tick" }, 100);
  t.deepEqual(asked, [{ type: "pull", address: "a" }, {
    type: "pull",
    address: "b",
  }]);
  const deliver = (sequence: number) =>
    replica.handle({
      type: "snapshot",
      snapshot: buildSnapshot(sequence),
      source: "peer",
    }, 200);
  deliver(2);
  replica.handle({ type: "seed_answered", address: "a", sequence: 2 }, 200);
  replica.handle({ type: "seed_answered", address: "b", sequence: 3 }, 200);
  replica.handle({ type: "tick" }, 300);
  t.false(replica.isReady());
  deliver(3);
  t.true(replica.isReady());
});
