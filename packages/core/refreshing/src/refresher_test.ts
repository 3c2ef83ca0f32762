import test from "ava";
import { createRefresher } from "./mod.ts";
import type { RefreshAction, Refresher } from "./mod.ts";

const create = (processId: string, startedAtMs = 0): Refresher =>
  createRefresher({ processId, startedAtMs, joinMs: 0 });

type Read = Extract<RefreshAction, { type: "read" }>;

function settle(
  refresher: Refresher,
  id: number,
  result: "answered" | "failed",
  nowMs: number,
): RefreshAction[] {
  return refresher.handle(
    result === "answered"
      ? { type: "read", id, hasChanges: false }
      : { type: "read_failed", id },
    nowMs,
  );
}

/** Runs ticks of an entry until a time; the store treats each read at once, and
 * one for which `answer` is undefined hangs. */
function runReads(
  refresher: Refresher,
  { region, fromMs, untilMs, answer }: {
    readonly region: readonly string[];
    readonly fromMs: number;
    readonly untilMs: number;
    readonly answer: (
      read: Read,
      nowMs: number,
    ) => "answered" | "failed" | undefined;
  },
): { readonly atMs: number; readonly read: Read }[] {
  const reads: { readonly atMs: number; readonly read: Read }[] = [];
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += 10) {
    const actions = refresher.handle({ type: "tick", region }, nowMs);
    for (let action = actions.shift(); action; action = actions.shift()) {
      if (action.type !== "read") continue;
      reads.push({ atMs: nowMs, read: action });
      const result = answer(action, nowMs);
      if (result === undefined) continue;
      actions.push(...settle(refresher, action.id, result, nowMs));
    }
  }
  return reads;
}

// A waiting read that is sent while the store does not answer hangs for its
// whole wait after the store has recovered, which delays all changes of that
// time.
test("guards against a change that is delayed by a waiting read from an outage", (t) => {
  const refresher = create("p1");
  const isDown = (nowMs: number) => nowMs >= 2_000 && nowMs < 4_000;
  const reads = runReads(refresher, {
    region: ["p1"],
    fromMs: 0,
    untilMs: 7_000,
    answer: ({ waitMs }, nowMs) => {
      if (isDown(nowMs)) return "failed";
      return waitMs === 0 ? "answered" : undefined;
    },
  });
  const waiting = reads.filter(({ read }) => read.waitMs > 0);
  t.true(waiting.some(({ atMs }) => atMs < 2_000));
  t.false(waiting.some(({ atMs }) => isDown(atMs)));
  const recovered = reads.find(({ atMs }) => atMs >= 4_000)!;
  t.is(recovered.read.waitMs, 0);
});

// The connection of a waiting read may be dead without a sign of it.
test("guards against a waiting read that counts as proof that nothing changed", (t) => {
  const refresher = create("p1");
  const reads = runReads(refresher, {
    region: ["p1"],
    fromMs: 0,
    untilMs: 4_000,
    answer: ({ waitMs }) => waitMs === 0 ? "answered" : undefined,
  });
  const polls = reads.filter(({ read }) =>
    read.table === "orders" && read.waitMs === 0
  );
  polls.slice(1).forEach(({ atMs }, index) => {
    t.true(atMs - polls[index]!.atMs <= 1_000, `${atMs} ms`);
  });
  t.true(refresher.ageMs(4_000) <= 1_000);
});

// Some stores, or proxies before them, ignore the wait.
test("guards against a flood of reads at a store that does not wait", (t) => {
  const refresher = create("p1");
  const reads = runReads(refresher, {
    region: ["p1"],
    fromMs: 0,
    untilMs: 5_000,
    answer: () => "answered",
  });
  t.true(reads.length <= 5 * 6, `${reads.length} reads`);
});

// Without the poll, the direct read would wait for the end of the dead one.
test("guards against a stale copy of which only a waiting read is pending", (t) => {
  const refresher = create("p1");
  const reads = runReads(refresher, {
    region: ["p1"],
    fromMs: 0,
    untilMs: 3_000,
    answer: ({ waitMs }, nowMs) =>
      waitMs === 0 && nowMs < 500 ? "answered" : undefined,
  });
  const orders = reads.filter(({ read, atMs }) =>
    read.table === "orders" && read.waitMs === 0 && atMs >= 500
  );
  t.true(orders.length > 0);
});

// The answer may be as old as its request: the catalog is read, and the answer
// is made, at some moment in between.
test("guards against answers that count as current when they arrive", (t) => {
  const refresher = create("p1");
  const region = ["p1"];
  const answeredAtMs = 500;
  for (const action of refresher.handle({ type: "tick", region }, 0)) {
    if (action.type !== "read") continue;
    const { id } = action;
    refresher.handle({ type: "read", id, hasChanges: true }, answeredAtMs);
  }
  t.is(refresher.ageMs(answeredAtMs), 500);
});

/** Loads the copy of an entry that follows another one. */
function startFollower(region: readonly string[], leader: string): Refresher {
  const refresher = create("p9", -10_000);
  const [pull] = refresher.handle({ type: "tick", region }, 0)
    .filter((action) => action.type === "pull");
  refresher.handle(
    { type: "pulled", id: pull!.id, ageMs: 0, reader: leader },
    1,
  );
  return refresher;
}

// Otherwise all would read through it, each a pull later than the next one.
test("guards against following an entry that itself follows another one", (t) => {
  const refresher = startFollower(["p1", "p2", "p9"], "p2");
  t.is(refresher.source, "p2");
});

// Each would wait for the other one to read.
test("guards against two entries that follow each other", (t) => {
  const refresher = startFollower(["p1", "p2", "p9"], "p9");
  t.is(refresher.source, "p9");
});

// An entry that has just joined or returned has nothing to follow yet.
test("guards against a reader that stops before the next one reads", (t) => {
  const refresher = create("p2");
  runReads(refresher, {
    region: ["p2"],
    fromMs: 0,
    untilMs: 500,
    answer: ({ waitMs }) => waitMs === 0 ? "answered" : undefined,
  });
  t.is(refresher.source, "p2");
  const region = ["p1", "p2"];
  const probe = (nowMs: number, reader: string | undefined) => {
    const [pull] = refresher.handle({ type: "tick", region }, nowMs)
      .filter((action) => action.type === "pull");
    const { id } = pull!;
    refresher.handle({ type: "pulled", id, ageMs: 100, reader }, nowMs + 2);
  };
  probe(510, undefined);
  t.is(refresher.source, "p2");
  probe(1_520, "p1");
  t.is(refresher.source, "p1");
});
