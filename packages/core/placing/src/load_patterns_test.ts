import test from "ava";
import { runWorld, sumIntervals } from "./world_fixture.ts";
import type { WorldInterval, WorldOptions } from "./world_fixture.ts";

const WAVE_MS = 36_000;
const WAVE_SWING = 0.55;

/** Builds a rate that rises and falls like the demand of a region's users. */
function buildWave(perSecond: number, phase: number) {
  return (nowMs: number) =>
    perSecond *
    (1 + WAVE_SWING * Math.sin(2 * Math.PI * (nowMs / WAVE_MS + phase)));
}

/** Three regions of 6, 12 and 18 slots with the same average demand. */
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

// The slots carry this demand only if most runs are warm.
test("guards against cold runs at 1.9 times the demand that the slots carry cold", (t) => {
  const sum = sumIntervals(runWorld(buildWorld(277)));
  t.true(sum.cold / sum.requests < 0.08, `cold ${sum.cold / sum.requests}`);
  t.true(computeScore(sum) > 0.9, `score ${computeScore(sum)}`);
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
  t.true(score > 0.75, `score ${score}`);
  const end = computeScore(sumIntervals(intervals.slice(-4)));
  t.true(end > 0.8, `score of the last 8 s ${end}`);
});

test("guards against runs in other regions while the home region has room", (t) => {
  // Objects move home slowly, as each is cold there at first.
  const intervals = runWorld(buildWorld(40, { durationMs: 150_000 }));
  const end = sumIntervals(intervals.slice(-3));
  t.true(end.remote / end.requests < 0.08, `remote ${end.remote}`);
});

// Objects that are spread unevenly overload some servers of a large fleet.
test("guards against overloaded servers while most servers are idle", (t) => {
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
  t.true(score > 0.9, `score ${score}`);
});

// The target leaves no time for a round trip to another region.
test("guards against answers that are late because they come from another region", (t) => {
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

test("guards against servers that become slow and keep their requests", (t) => {
  const intervals = runWorld(
    buildWorld(200, {
      slowness: (server, nowMs) =>
        server.endsWith("1") && nowMs > 8_000 && nowMs < 15_000 ? 5 : 1,
    }),
  );
  const slow = computeScore(sumIntervals(intervals.slice(4, 8)));
  t.true(slow > 0.7, `score ${slow}`);
});

// Sheds raise the failure share of every server; requests must still be sent.
test("guards against an outage by servers that shed requests while idle", (t) => {
  const intervals = runWorld(
    buildWorld(277, {
      sheds: (_server, nowMs) => nowMs > 13_000 && nowMs < 21_000 ? 0.55 : 0,
    }),
  );
  const shed = sumIntervals(intervals.slice(7, 10));
  // With two attempts, 0.7 of the requests can be served.
  t.true(shed.refused / shed.requests < 0.4, `refused ${shed.refused}`);
  const after = computeScore(sumIntervals(intervals.slice(12)));
  t.true(after > 0.9, `score afterwards ${after}`);
});

// Warm runs take 0.7 of the time of cold ones, so the two are hard to tell
// apart.
test("guards against refusals with free slots where warm runs save little time", (t) => {
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
