import test from "ava";
import { runTargetBench } from "../mod.ts";

const SEED = 20261204;

/** Round trip from the caller's entry to the owner. */
const HOP_MS = 2 * 0.5;

/** Guarantee G6: no new work after 3 s; a request then has 2 s left at most. */
const DRAIN_MS = 3_000 + 2_000;

test("guards against dispatch that misses the targets of the design", (t) => {
  const rows = runTargetBench({ seed: SEED, durationMs: 15_000, clientMs: 1 });
  t.log(`seed ${SEED}`);
  for (const row of rows.filter(({ policy }) => policy === "ours")) {
    t.is(row.overShare, 0, row.scenario);
    t.true(row.peakOverSlots <= 1, row.scenario);
    t.true(row.drainMs <= DRAIN_MS, `${row.scenario}: ${row.drainMs} ms`);
    t.true(row.answered > 0);
  }
  const [ideal, ours] = rows.filter(({ scenario }) => scenario === "steady");
  const boundMs = 1.3 * ideal!.p99Ms + HOP_MS;
  t.true(ours!.p99Ms <= boundMs, `${ours!.p99Ms} ms over ${boundMs} ms`);
  t.is(ours!.refusedShare + ours!.failedShare, 0);
});
