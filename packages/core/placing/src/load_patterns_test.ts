import test from "ava";
import { runWorld, sumIntervals } from "./world_fixture.ts";
import type { WorldInterval, WorldOptions } from "./world_fixture.ts";

const WAVE_MS = 36_000;
const WAVE_SWING = 0.55;

/** A rate in waves, as that of the users' regions. */
function buildWave(perSecond: number, phase: number) {
  return (nowMs: number) =>
    perSecond *
    (1 + WAVE_SWING * Math.sin(2 * Math.PI * (nowMs / WAVE_MS + phase)));
}

/** Three regions of 6, 12 and 18 slots with the same demand each. */
function buildWorld(
  perSecond: number,
  changes: Partial<WorldOptions> = {},
): WorldOptions {
  const rate = perSecond / 3;
  return {
    seed: 1,
    durationMs: 32_000,
    regions: [
      { name: "small", servers: 2, entries: 6, rate: buildWave(rate, 0) },
      { name: "middle", servers: 4, entries: 6, rate: buildWave(rate, 0.33) },
      { name: "large", servers: 6, entries: 4, rate: buildWave(rate, 0.67) },
    ],
    objects: 50,
    remembered: 52,
    workMs: 240,
    targetLatencyMs: 250,
    deadlineMs: 1_200,
    ...changes,
  };
}

function computeScore(interval: WorldInterval): number {
  return (interval.onTime + 0.2 * interval.late) / interval.requests;
}

test("guards against cold runs that fill the slots when demand is 1.9 times what they carry cold", (t) => {
  const sum = sumIntervals(runWorld(buildWorld(277)));
  t.true(sum.cold / sum.requests < 0.08, `cold ${sum.cold / sum.requests}`);
  t.true(computeScore(sum) > 0.9, `worth ${computeScore(sum)}`);
  t.true(sum.refused / sum.requests < 0.02);
});

test("guards against long runs that stay cold after a start", (t) => {
  const intervals = runWorld(
    buildWorld(113, {
      objects: 24,
      remembered: 25,
      workMs: 600,
      targetLatencyMs: 500,
      deadlineMs: 3_000,
    }),
  );
  const score = computeScore(sumIntervals(intervals));
  t.true(score > 0.75, `worth ${score}`);
  const end = computeScore(sumIntervals(intervals.slice(-4)));
  t.true(end > 0.8, `worth of the last 8 s ${end}`);
});

test("guards against answers far away while there is room at home", (t) => {
  // Objects go home slowly, as each is cold there at first.
  const intervals = runWorld(buildWorld(40, { durationMs: 150_000 }));
  const end = sumIntervals(intervals.slice(-3));
  t.true(end.remote / end.requests < 0.08, `remote ${end.remote}`);
});

test("guards against objects that pile up at some servers while most are idle", (t) => {
  const rate = 599 / 3;
  const intervals = runWorld(
    buildWorld(0, {
      durationMs: 16_000,
      sharingMs: 200,
      regions: [
        { name: "small", servers: 8, entries: 42, rate: buildWave(rate, 0) },
        {
          name: "middle",
          servers: 36,
          entries: 48,
          rate: buildWave(rate, 0.33),
        },
        {
          name: "large",
          servers: 44,
          entries: 46,
          rate: buildWave(rate, 0.67),
        },
      ],
      objects: 124,
      remembered: 17,
      slots: 4,
      queue: 12,
      workMs: 1_000,
      targetLatencyMs: 800,
      deadlineMs: 1_200,
    }),
  );
  const score = computeScore(sumIntervals(intervals.slice(1)));
  t.true(score > 0.9, `worth ${score}`);
});

test("guards against answers that come late because they run far away", (t) => {
  const intervals = runWorld(
    buildWorld(25, {
      objects: 24,
      remembered: 25,
      workMs: 192,
      targetLatencyMs: 200,
    }),
  );
  const sum = sumIntervals(intervals);
  t.true(sum.remote / sum.requests < 0.1, `remote ${sum.remote}`);
});

test("guards against servers that turn slow and keep their objects", (t) => {
  const intervals = runWorld(
    buildWorld(200, {
      slowness: (server, nowMs) =>
        server.endsWith("1") && nowMs > 8_000 && nowMs < 15_000 ? 5 : 1,
    }),
  );
  const slow = computeScore(sumIntervals(intervals.slice(4, 8)));
  t.true(slow > 0.7, `worth ${slow}`);
});

test("guards against servers that shed although idle and end all service", (t) => {
  const intervals = runWorld(
    buildWorld(277, {
      sheds: (_server, nowMs) => nowMs > 13_000 && nowMs < 21_000 ? 0.55 : 0,
    }),
  );
  const shed = sumIntervals(intervals.slice(7, 10));
  // With two attempts, 0.7 of the requests can be served.
  t.true(shed.refused / shed.requests < 0.4, `refused ${shed.refused}`);
  const after = computeScore(sumIntervals(intervals.slice(12)));
  t.true(after > 0.9, `worth after ${after}`);
});

// Cold and warm runs are hard to tell by their length there.
test("guards against refusals while slots are free where warm runs save little", (t) => {
  const rate = 86 / 3;
  const sum = sumIntervals(runWorld(
    buildWorld(0, {
      regions: [
        { name: "small", servers: 2, entries: 6, rate: buildWave(rate, 0) },
        { name: "middle", servers: 4, entries: 6, rate: buildWave(rate, 0.33) },
        { name: "large", servers: 6, entries: 6, rate: buildWave(rate, 0.67) },
      ],
      objects: 40,
      remembered: 30,
      slots: 5,
      queue: 15,
      workMs: 480,
      targetLatencyMs: 400,
      deadlineMs: 2_500,
      warmShare: 0.7,
      remoteMs: 80,
    }),
  ));
  t.true(sum.refused / sum.requests < 0.02, `refused ${sum.refused}`);
});
