import test from "ava";
import fc from "fast-check";
import { createLoadAggregator, createLoadReader } from "./mod.ts";

const SEED = 20261204;

test("guards against sums that lack the load of other entries or regions", (t) => {
  const aggregator = createLoadAggregator({ numbering: "p1" });
  aggregator.recordReport("p1", new Map([["s1", 1], ["s2", 2]]), 0);
  aggregator.recordReport("p2", new Map([["s1", 3]]), 100);
  aggregator.recordReport("p2", new Map([["s1", 2]]), 200);
  aggregator.recordRegion("far", new Map([["s2", 1], ["s3", 4]]), 200);
  t.deepEqual([...aggregator.sumRegion(300)], [["s1", 3], ["s2", 2]]);
  t.deepEqual([...aggregator.sumAll(300)], [["s1", 3], ["s2", 3], ["s3", 4]]);
});

test("guards against the load of an entry that has ended", (t) => {
  const aggregator = createLoadAggregator({ numbering: "p1" });
  aggregator.recordReport("p2", new Map([["s1", 3]]), 0);
  aggregator.recordRegion("far", new Map([["s2", 1]]), 0);
  t.is(aggregator.sumAll(600).get("s1"), 3);
  t.deepEqual([...aggregator.sumAll(701)], [["s2", 1]]);
  t.deepEqual([...aggregator.sumAll(1_501)], []);
});

// Readers switch between aggregators, whose numberings differ.
test("guards against sums that are attributed to the wrong server", (t) => {
  const counts = fc.dictionary(
    fc.constantFrom("a", "b", "c", "d", "e", "f"),
    fc.integer({ min: 1, max: 300 }),
  );
  const step = fc.record({ aggregator: fc.nat(1), reader: fc.nat(2), counts });
  const property = fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const aggregators = ["p1", "p2"].map((numbering) =>
      createLoadAggregator({ numbering })
    );
    const readers = [0, 1, 2].map(() => createLoadReader());
    for (const { aggregator, reader, counts } of steps) {
      const sums = new Map(Object.entries(counts));
      const packed = aggregators[aggregator]!.pack(
        sums,
        readers[reader]!.known,
      );
      const read = readers[reader]!.read(packed);
      const expected = [...sums].map(([server, count]) =>
        [server, Math.min(255, count)] as const
      );
      t.deepEqual(Object.fromEntries(read!), Object.fromEntries(expected));
    }
  });
  fc.assert(property, { seed: SEED, numRuns: 300 });
});

test("guards against server ids that are sent with every message", (t) => {
  const aggregator = createLoadAggregator({ numbering: "p1" });
  const reader = createLoadReader();
  const sums = new Map([["s1", 1], ["s2", 2]]);
  reader.read(aggregator.pack(sums, reader.known));
  const next = aggregator.pack(new Map([["s3", 1]]), reader.known);
  t.deepEqual(next.servers, ["s3"]);
  t.is(next.counts.length, 3);
});

// Messages can arrive out of order, so the one with the ids may come later.
test("guards against sums with numbers that the reader has no ids for", (t) => {
  const aggregator = createLoadAggregator({ numbering: "p1" });
  const sums = new Map([["s1", 1], ["s2", 2]]);
  const packed = aggregator.pack(sums, { numbering: "p1", count: 0 });
  const behind = aggregator.pack(sums, { numbering: "p1", count: 2 });
  const reader = createLoadReader();
  t.is(reader.read(behind), undefined);
  t.truthy(reader.read(packed));
  t.truthy(reader.read(behind));
});
