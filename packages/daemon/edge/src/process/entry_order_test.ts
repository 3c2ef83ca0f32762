import test from "ava";
import { sortEntries } from "./entry_order.ts";

function makeEntry(processId: string, incarnation: number, capacity: number) {
  return {
    instance: processId,
    processId,
    incarnation,
    peerAddress: "",
    callerAddress: "",
    region: "a",
    zone: "a-1",
    capacity,
  };
}

test("guards against an entry on a small instance that has to answer all others of its region", (t) => {
  const entries = [
    makeEntry("p1", 10, 189),
    makeEntry("p2", 20, 1_350),
    makeEntry("p3", 30, 1_350),
  ];
  const order = sortEntries(entries).map(({ processId }) => processId);
  t.deepEqual(order, ["p2", "p3", "p1"]);
});

test("guards against a starting entry that takes over a role from a running one", (t) => {
  const entries = [makeEntry("p9", 10, 378), makeEntry("p1", 20, 378)];
  const order = sortEntries(entries).map(({ processId }) => processId);
  t.deepEqual(order, ["p9", "p1"]);
  t.deepEqual(sortEntries(entries.reverse())[0]?.processId, "p9");
});
