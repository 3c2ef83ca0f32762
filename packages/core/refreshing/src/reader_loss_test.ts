import test from "ava";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SimulatedInstallation } from "./simulated_installation.ts";
import type { Condition } from "./simulated_installation.ts";

/** Shortest time in milliseconds within which the platform requires that a
 * change is in force, less that of opening a connection to a server. */
const IN_FORCE_MS = 2_500 - 250;

/** Entries by region. */
const SIZES = {
  today: [6, 5, 5],
  grown: [46, 45, 45],
  target: [118, 117, 117, 117, 117, 117, 117],
} as const;

type Size = keyof typeof SIZES;

/** Number of seeds, each with another moment of the failure. */
const SEEDS: Readonly<Record<Size, number>> = {
  today: 20,
  grown: 3,
  target: 1,
};

const START_MS = 5_000;
const RUN_MS = 6_000;

/** Longest delay in milliseconds with which entries handle events: on a busy
 * instance, timers are tens of milliseconds late. */
const LAG_MS = 50;

/** Changes the conditions of some entries. */
type Fault = (
  installation: SimulatedInstallation,
  random: () => number,
) => void;

interface Play {
  /** Longest time in milliseconds for which an undisturbed entry knew nothing of
   * changes. */
  readonly longestMs: number;
  /** Longest time by which an entry took its copy for more recent than it
   * was. */
  readonly overstatedMs: number;
  /** Calls to the store a second, of all entries. */
  readonly callRate: number;
  /** Pulls a second, of all entries. */
  readonly pullRate: number;
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

function play(size: Size, fault: Fault, lagMs = LAG_MS): Play {
  let longestMs = 0;
  let overstatedMs = 0;
  let calls = 0;
  let pulls = 0;
  const seeds = SEEDS[size];
  for (let seed = 1; seed <= seeds; seed++) {
    const random = createRandom(seed);
    const installation = new SimulatedInstallation({
      regions: SIZES[size],
      random,
      lagMs,
    });
    // The reader reads every 850 ms, so the failures come at any moment of that.
    const failsAtMs = START_MS + 850 * (seed / seeds);
    installation.run(failsAtMs);
    const { calls: callsBefore, pulls: pullsBefore } = installation;
    fault(installation, random);
    const checked = installation.entries
      .filter(({ condition }) => condition === "sound");
    installation.run(failsAtMs + RUN_MS, () => {
      for (const entry of checked) {
        const ageMs = installation.trueAgeMs(entry);
        const told = entry.refresher.ageMs(installation.nowMs);
        longestMs = Math.max(longestMs, ageMs);
        overstatedMs = Math.max(overstatedMs, ageMs - told);
      }
    });
    calls += installation.calls - callsBefore;
    pulls += installation.pulls - pullsBefore;
  }
  const seconds = seeds * RUN_MS / 1_000;
  return {
    longestMs,
    overstatedMs,
    callRate: calls / seconds,
    pullRate: pulls / seconds,
  };
}

function failFirst(count: number, condition: Condition): Fault {
  return (installation) => {
    SIZES.target.forEach((_, region) => {
      const entries = installation.listRegion(region);
      for (
        const entry of entries.slice(0, Math.min(count, entries.length - 1))
      ) {
        installation.setCondition(entry, condition);
      }
    });
  };
}

function failShare(share: number, condition: Condition): Fault {
  return (installation, random) => {
    for (const entry of installation.entries) {
      if (random() < share) installation.setCondition(entry, condition);
    }
  };
}

const FAULTS: Readonly<Record<string, Fault>> = {
  "no fault": () => {},
  "one reader is dead": failFirst(1, "dead"),
  "two readers are dead": failFirst(2, "dead"),
  "three readers are dead": failFirst(3, "dead"),
  "five readers are dead": failFirst(5, "dead"),
  "one reader is frozen": failFirst(1, "frozen"),
  "three readers are frozen": failFirst(3, "frozen"),
  "one reader is cut off": failFirst(1, "cut"),
  "two readers are cut off": failFirst(2, "cut"),
  "three readers are cut off": failFirst(3, "cut"),
  "five readers are cut off": failFirst(5, "cut"),
  "three readers are refused": failFirst(3, "refused"),
  "a third is cut off": failShare(0.35, "cut"),
  "half are dead": failShare(0.5, "dead"),
  "waiting reads go silent": (installation) =>
    installation.silenceWaitingReads(),
};

// The time until an entry reads the store must not add up over the entries that
// failed before it.
for (const size of ["today", "grown"] as const) {
  for (const [name, fault] of Object.entries(FAULTS)) {
    test(`guards against a copy that becomes too old, ${size}, ${name}`, (t) => {
      const { longestMs, overstatedMs, callRate } = play(size, fault);
      t.log(`${Math.round(longestMs)} ms, ${callRate.toFixed(1)} calls/s`);
      t.true(longestMs <= IN_FORCE_MS, `${longestMs} ms`);
      t.true(overstatedMs <= 1, `${overstatedMs} ms`);
    });
  }
}

test("guards against a copy that becomes too old, target size, a third is cut off", (t) => {
  const { longestMs } = play("target", failShare(0.35, "cut"));
  t.true(longestMs <= IN_FORCE_MS, `${longestMs} ms`);
});

// On a small share of a core under load, events are handled late.
test("guards against a copy that becomes too old at busy entries", (t) => {
  const { longestMs } = play("today", failFirst(3, "dead"), 150);
  t.true(longestMs <= IN_FORCE_MS, `${longestMs} ms`);
});

// Calls to the store are billed: one entry of each region reads.
test("guards against calls to the store that grow with the number of entries", (t) => {
  const today = play("today", () => {});
  const grown = play("grown", () => {});
  t.true(grown.callRate <= 1.1 * today.callRate, `${grown.callRate}`);
});

// In an outage, every entry finds out that the store does not answer.
test("guards against an outage in which all entries call the store and each other again and again", (t) => {
  const stop: Fault = (installation) => {
    installation.isStoreDown = true;
  };
  const calm = play("grown", () => {});
  const { callRate, pullRate } = play("grown", stop);
  const entries = SIZES.grown.reduce((sum, count) => sum + count, 0);
  // One call of each entry, and three a second of each region.
  const limit = calm.callRate + entries / (RUN_MS / 1_000) +
    3 * SIZES.grown.length;
  t.true(callRate <= limit, `${callRate} of ${limit}`);
  // The entries ask each other, too, but not for long more often than before.
  t.true(pullRate <= 3 * calm.pullRate, `${pullRate} pulls`);
});

// All entries fail at the same moment; if they tried again at the same moment,
// none would hear of the store's return before.
for (const size of ["today", "grown"] as const) {
  for (const outageMs of [300, 1_000, 2_000, 4_000, 8_000]) {
    test(`guards against a copy that stays old after an outage, ${size}, ${outageMs} ms`, (t) => {
      const installation = new SimulatedInstallation({
        regions: SIZES[size],
        random: createRandom(1),
        lagMs: LAG_MS,
      });
      installation.run(START_MS);
      installation.isStoreDown = true;
      installation.run(START_MS + outageMs);
      installation.isStoreDown = false;
      const returnedAtMs = installation.nowMs;
      installation.run(returnedAtMs + IN_FORCE_MS);
      let longestMs = 0;
      installation.run(returnedAtMs + IN_FORCE_MS + 4_000, () => {
        for (const entry of installation.entries) {
          longestMs = Math.max(longestMs, installation.trueAgeMs(entry));
        }
      });
      t.true(longestMs <= IN_FORCE_MS, `${longestMs} ms`);
    });
  }
}

// The store is away for a moment and comes back from a copy. Only its readers
// read whole tables; the others get them from these.
const AWAY = [
  { size: "today", awayMs: 300 },
  { size: "today", awayMs: 2_000 },
  { size: "grown", awayMs: 300 },
  { size: "grown", awayMs: 1_000 },
  { size: "grown", awayMs: 2_000 },
] as const;
for (const { size, awayMs } of AWAY) {
  test(`guards against whole reads by all entries after a change of the era, ${size}, away for ${awayMs} ms`, (t) => {
    const installation = new SimulatedInstallation({
      regions: SIZES[size],
      random: createRandom(1),
      lagMs: LAG_MS,
    });
    installation.run(START_MS);
    const callsBefore = installation.calls;
    installation.isStoreDown = true;
    installation.run(START_MS + awayMs);
    installation.era += 1;
    installation.isStoreDown = false;
    const returnedAtMs = installation.nowMs;
    installation.run(returnedAtMs + IN_FORCE_MS);
    const calls = installation.calls - callsBefore;
    const { wholeReads } = installation;
    t.log(`${calls} calls, ${wholeReads} reads of whole tables`);
    for (const { eras } of installation.entries) {
      t.deepEqual([eras.servers, eras.orders], [2, 2]);
    }
    // Three tables for the reader and three others of each region.
    const limit = 4 * 3 * SIZES[size].length;
    t.true(wholeReads <= limit, `${wholeReads} whole reads`);
  });
}

// A frozen entry resumes with what it knew before.
test("guards against a reader that resumes with an old copy and keeps it", (t) => {
  for (let seed = 1; seed <= SEEDS.today; seed++) {
    const installation = new SimulatedInstallation({
      regions: SIZES.today,
      random: createRandom(seed),
      lagMs: LAG_MS,
    });
    installation.run(START_MS);
    const reader = installation.entries
      .find(({ id, refresher }) => refresher.source === id)!;
    installation.setCondition(reader, "frozen");
    installation.run(START_MS + 3_000);
    installation.setCondition(reader, "sound");
    let longestMs = 0;
    const resumedAtMs = installation.nowMs;
    installation.run(resumedAtMs + 4_000, () => {
      for (const entry of installation.entries) {
        const isDue = entry !== reader ||
          installation.nowMs > resumedAtMs + IN_FORCE_MS;
        if (!isDue) continue;
        longestMs = Math.max(longestMs, installation.trueAgeMs(entry));
      }
    });
    t.true(longestMs <= IN_FORCE_MS, `seed ${seed}: ${longestMs} ms`);
  }
});
