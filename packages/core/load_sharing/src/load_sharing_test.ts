import test from "ava";
import fc from "fast-check";
import { createLoadBoard, createLoadReader } from "./mod.ts";

const SEED = 20261204;

test("guards against sums that lack the load of other entries or regions", (t) => {
  const board = createLoadBoard({ numbering: "p1" });
  board.recordReport("p1", new Map([["s1", 1], ["s2", 2]]), 0);
  board.recordReport("p2", new Map([["s1", 3]]), 100);
  board.recordReport("p2", new Map([["s1", 2]]), 200);
  board.recordRegion("far", new Map([["s2", 1], ["s3", 4]]), 200);
  t.deepEqual([...board.sumRegion(300)], [["s1", 3], ["s2", 2]]);
  t.deepEqual([...board.sumAll(300)], [["s1", 3], ["s2", 3], ["s3", 4]]);
});

test("guards against the load of an entry that has ended", (t) => {
  const board = createLoadBoard({ numbering: "p1" });
  board.recordReport("p2", new Map([["s1", 3]]), 0);
  board.recordRegion("far", new Map([["s2", 1]]), 0);
  t.is(board.sumAll(600).get("s1"), 3);
  t.deepEqual([...board.sumAll(701)], [["s2", 1]]);
  t.deepEqual([...board.sumAll(1_501)], []);
});

// Readers switch between aggregators, whose numberings differ.
test("guards against sums that are attributed to the wrong server", (t) => {
  const counts = fc.dictionary(
    fc.constantFrom("a", "b", "c", "d", "e", "f"),
    fc.integer({ min: 1, max: 300 }),
  );
  const step = fc.record({ board: fc.nat(1), reader: fc.nat(2), counts });
  const property = fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const boards = ["p1", "p2"].map((numbering) =>
      createLoadBoard({ numbering })
    );
    const readers = [0, 1, 2].map(() => createLoadReader());
    for (const { board, reader, counts } of steps) {
      const sums = new Map(Object.entries(counts));
      const packed = boards[board]!.pack(sums, readers[reader]!.known);
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
  const board = createLoadBoard({ numbering: "p1" });
  const reader = createLoadReader();
  const sums = new Map([["s1", 1], ["s2", 2]]);
  reader.read(board.pack(sums, reader.known));
  const next = board.pack(new Map([["s3", 1]]), reader.known);
  t.deepEqual(next.servers, ["s3"]);
  t.is(next.counts.length, 3);
});

// Messages can arrive out of order, so the one with the ids may come later.
test("guards against sums with numbers that the reader has no ids for", (t) => {
  const board = createLoadBoard({ numbering: "p1" });
  const sums = new Map([["s1", 1], ["s2", 2]]);
  const packed = board.pack(sums, { numbering: "p1", count: 0 });
  const behind = board.pack(sums, { numbering: "p1", count: 2 });
  const reader = createLoadReader();
  t.is(reader.read(behind), undefined);
  t.truthy(reader.read(packed));
  t.truthy(reader.read(behind));
});
