import test from "ava";
import fc from "fast-check";
import { createShiftGate } from "./mod.ts";
import type { ShiftLimits } from "@dotterelmoor/core.types";
import type { TargetCondition } from "./mod.ts";

const SEED = 20261204;
const LIMITS = { cap: 50, windowMs: 1000, startShare: 0.2, stepShare: 0.2 };

const limits: fc.Arbitrary<ShiftLimits> = fc.record({
  cap: fc.integer({ min: 0, max: 12 }),
  windowMs: fc.integer({ min: 50, max: 2000 }),
  startShare: fc.constantFrom(0.1, 0.5, 1),
  stepShare: fc.constantFrom(0.1, 0.5, 1),
});
const step = fc.record({
  waitMs: fc.oneof(
    fc.constant(0),
    fc.double({ min: 0, max: 25, noNaN: true }),
    fc.double({ min: 0, max: 400, noNaN: true }),
  ),
  /** Retries at about the time given by the last refusal, as callers do. */
  retryOffsetMs: fc.option(fc.double({ min: -30, max: 2, noNaN: true }), {
    freq: 2,
  }),
  admits: fc.integer({ min: 0, max: 5 }),
  /** Indexes, from the latest, of admitted requests to withdraw. */
  withdrawn: fc.array(fc.nat({ max: 20 }), { maxLength: 2 }),
  condition: fc.constantFrom<TargetCondition>("good", "good", "bad", "unknown"),
  settings: fc.option(limits, { freq: 20 }),
});

// Bucketed counters, changed limits, withdrawals and a takeover must never let
// a window contain more admissions than the cap.
test("guards against more than the cap in any window, also a new owner's", (t) => {
  const property = fc.property(
    limits,
    fc.array(step, { minLength: 10, maxLength: 120, size: "max" }),
    (initialLimits, steps) => {
      let now = 1000;
      // The previous owner used the whole cap at the moment of the takeover.
      const admitted = Array.from({ length: initialLimits.cap }, () => now);
      const gate = createShiftGate({ limits: initialLimits, startedAtMs: now });
      let currentLimits = initialLimits;
      let retryAtMs = 0;
      for (const nextStep of steps) {
        const {
          waitMs,
          retryOffsetMs,
          admits,
          condition,
          settings,
          withdrawn,
        } = nextStep;
        now = retryOffsetMs === null
          ? now + waitMs
          : Math.max(now, retryAtMs + retryOffsetMs);
        gate.handle({ type: "measurement", condition }, now);
        if (settings !== null) {
          currentLimits = settings;
          gate.handle({ type: "settings", limits: settings }, now);
        }
        for (let id = 0; id < admits; id++) {
          const [action] = gate.handle({ type: "admit", id: `${id}` }, now);
          if (action!.type === "refused") {
            retryAtMs = now + action!.retryAfterMs;
            continue;
          }
          admitted.push(now);
          const since = now - currentLimits.windowMs;
          const count = admitted.filter((atMs) => atMs >= since).length;
          if (count > currentLimits.cap) throw new Error(`${count} at ${now}`);
        }
        for (const offset of withdrawn) {
          // The previous owner's requests come first and can't be withdrawn.
          const index = admitted.length - 1 - offset;
          if (index < initialLimits.cap) continue;
          const [admittedAtMs] = admitted.splice(index, 1);
          gate.handle({ type: "withdraw", admittedAtMs: admittedAtMs! }, now);
        }
      }
    },
  );
  fc.assert(property, {
    seed: SEED,
    numRuns: 1000,
    includeErrorInReport: true,
  });
  t.pass();
});

/** Requests admission every 5 ms and returns the admissions in each window. */
function runWindows(
  conditions: readonly (TargetCondition | undefined)[],
  gate = createShiftGate({ limits: LIMITS, startedAtMs: 0 }),
  fromMs = 1001,
): number[] {
  return conditions.map((condition, index) => {
    let admitted = 0;
    for (let passed = 0; passed < LIMITS.windowMs; passed += 5) {
      const now = fromMs + index * LIMITS.windowMs + passed;
      if (condition !== undefined && passed % 250 === 0) {
        gate.handle({ type: "measurement", condition }, now);
      }
      const [action] = gate.handle({ type: "admit", id: "r" }, now);
      if (action!.type === "admitted") admitted += 1;
    }
    return admitted;
  });
}

// The share may rise only after a whole window of good measurements, and must
// restart after a time without demand.
test("guards against a ramp that grows too fast or without measurements", (t) => {
  const gate = createShiftGate({ limits: LIMITS, startedAtMs: 0 });
  const run = (condition: TargetCondition | undefined, fromMs: number) => {
    runWindows([condition], gate, fromMs);
    return Math.round(gate.share * 10) / 10;
  };
  t.is(gate.handle({ type: "admit", id: "r" }, 1000)[0]!.type, "refused");
  t.is(run("good", 1001), 0.2);
  t.is(run("good", 2001), 0.4);
  t.is(run("unknown", 3001), 0.4);
  t.is(run(undefined, 4001), 0.4);
  t.is(run("good", 5001), 0.4, "a good window must be whole");
  t.is(run("good", 6001), 0.6);
  t.is(run("bad", 7001), 0.4);
  t.is(run("bad", 8001), 0.2);
  t.is(run("bad", 9001), 0.2);
  for (let start = 10_001; start < 16_000; start += 1000) run("good", start);
  t.is(gate.share, 1);
  t.is(run("good", 20_000), 0.2, "a new shift starts a new ramp");
});

// Buckets count admissions for too long; the loss must stay below 10 %.
test("guards against a cap that steady demand cannot use", (t) => {
  const windows = runWindows(Array(30).fill("good"));
  const ramped = windows.slice(10);
  const mean = ramped.reduce((sum, count) => sum + count, 0) / ramped.length;
  t.true(mean >= 0.9 * LIMITS.cap, `${mean} of ${LIMITS.cap} per window`);
});

// The window includes both its ends, so a retry exactly at its end is refused.
test("guards against a retry time at which the gate is still full", (t) => {
  const gate = createShiftGate({ limits: LIMITS, startedAtMs: 0 });
  const [refused] = gate.handle({ type: "admit", id: "r" }, 400.5);
  const { retryAfterMs } = refused as { retryAfterMs: number };
  t.true(retryAfterMs > 599 && retryAfterMs < 602, `${retryAfterMs}`);
  const [action] = gate.handle(
    { type: "admit", id: "r" },
    400.5 + retryAfterMs,
  );
  t.is(action!.type, "admitted");
});
