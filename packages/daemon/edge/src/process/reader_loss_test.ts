import test from "ava";
import type { ExecutionContext } from "ava";
import { buildServer } from "../edge_fixture.ts";
import { startRegion, wait } from "./reader_loss_fixture.ts";
import type { Condition, TestRegion } from "./reader_loss_fixture.ts";

/** Time in milliseconds within which a leaving server must get no more requests,
 * less that of opening a connection to it. */
const IN_FORCE_MS = 2_500 - 250;

/** Moments of the failure, in milliseconds after the start of a read of the
 * servers. */
const PHASES_MS = [50, 250, 450, 650];

const ENTRIES = 6;

/** Fails the first entries of a region, and then lets a server leave; returns
 * the longest time in milliseconds until another entry knows that. */
async function measureSpread(
  { entries, memory }: TestRegion,
  { failed, condition }: {
    readonly failed: number;
    readonly condition: Condition;
  },
): Promise<number> {
  for (const entry of entries.slice(0, failed)) entry.setCondition(condition);
  memory.drop("servers", "s1", { type: "server_removed", id: "s1" });
  const leftAtMs = performance.now();
  const others = entries.slice(failed);
  while (others.some((entry) => entry.knowsServer("s1"))) await wait(10);
  return performance.now() - leftAtMs;
}

async function measureLongestSpread(
  t: ExecutionContext,
  failure: { readonly failed: number; readonly condition: Condition },
): Promise<number> {
  const spreads = PHASES_MS.map(async (phaseMs) => {
    const region = await startRegion(t, ENTRIES);
    await wait(2_000 + phaseMs);
    return await measureSpread(region, failure);
  });
  return Math.max(...await Promise.all(spreads));
}

// Each dead entry before the next reader added the time in which it was found
// out, and the first one was asked again before the last one was.
for (const failed of [1, 2, 4]) {
  test(`guards against requests to a leaving server while the region's readers are dead, ${failed}`, async (t) => {
    const failure = { failed, condition: "dead" } as const;
    const spreadMs = await measureLongestSpread(t, failure);
    t.true(spreadMs <= IN_FORCE_MS, `${Math.round(spreadMs)} ms`);
  });
}

// The others heard of the new era from nobody, and kept the history before it.
for (const condition of ["cut", "dead"] as const) {
  test(`guards against a history that is kept because the reader is ${condition} as the store comes back`, async (t) => {
    const { entries, memory } = await startRegion(t, 4);
    await wait(2_000);
    memory.copy();
    const record = buildServer("s2", "127.0.0.1:10", { sequence: 9 });
    memory.put("servers", "s2", { type: "server", record });
    const others = entries.slice(1);
    while (!others.every((entry) => entry.knowsServer("s2"))) await wait(10);
    entries[0]!.setCondition(condition);
    memory.comeBack();
    // At the version that the other server had.
    const leaving = buildServer("s1", "127.0.0.1:9", {
      sequence: 2,
      state: "draining",
    });
    memory.put("servers", "s1", { type: "server", record: leaving });
    const leftAtMs = performance.now();
    while (others.some((entry) => entry.knowsServer("s1"))) await wait(10);
    const spreadMs = performance.now() - leftAtMs;
    t.true(spreadMs <= IN_FORCE_MS, `${Math.round(spreadMs)} ms`);
  });
}

// A reader that is cut off from the store goes on answering the others, so each
// one was followed until its catalog was old, and given time for failed calls.
for (const failed of [1, 2, 3]) {
  test(`guards against requests to a leaving server while the region's readers are cut off, ${failed}`, async (t) => {
    const failure = { failed, condition: "cut" } as const;
    const spreadMs = await measureLongestSpread(t, failure);
    t.true(spreadMs <= IN_FORCE_MS, `${Math.round(spreadMs)} ms`);
  });
}
