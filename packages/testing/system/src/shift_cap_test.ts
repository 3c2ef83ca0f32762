import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ExecutionContext } from "ava";
import test from "ava";
import { readCounters, setFaults, waitUntil } from "@dotterelmoor/testing.demo";
import type { EntryProcess, RunningSystem } from "@dotterelmoor/testing.demo";
import type { ServerCounters } from "@dotterelmoor/testing.server";
import {
  findOwner,
  findServers,
  readStatus,
  startLoad,
  startOpenSystem,
} from "./change_helpers.ts";
import type { Load } from "./change_helpers.ts";

const SERVICE = "availdesk";
const TARGET = "farnorth";
/** Limits in examples/consortium/availdesk.yaml. */
const CAP = 80;
const WINDOW_MS = 1_000;
const USED_SHARE = 0.9;
const USED_WINDOWS = 4;
/** Loopback source addresses of the callers of each region. */
const CALLERS: Readonly<Record<string, string>> = {
  southeast: "127.1.0.5",
  farnorth: "127.2.0.5",
  capricorn: "127.3.0.5",
};

interface Run {
  readonly key: string | null;
  readonly atMs: number;
}

interface Shift {
  readonly system: RunningSystem;
  /** Reads the start times of shifted runs at the target's servers, sorted. */
  readShifted(): number[];
}

interface ShiftOptions {
  readonly sources: readonly string[];
  readonly entriesPerRegion: number;
}

async function startShift(
  t: ExecutionContext,
  options: ShiftOptions,
): Promise<Shift> {
  const directory = mkdtempSync(join(tmpdir(), "dotterelmoor-"));
  t.teardown(() => rmSync(directory, { recursive: true, force: true }));
  const runLog = join(directory, "runs.jsonl");
  const system = await startOpenSystem(t, {
    example: "consortium",
    regions: [TARGET, ...options.sources],
    entriesPerRegion: options.entriesPerRegion,
    serversPerGroup: 2,
    teams: [SERVICE],
    serverFlags: ["--run-log", runLog, "--service-ms", "10"],
  });
  const targetIds = new Set(listTargetIds(system));
  return {
    system,
    readShifted: () =>
      readFileSync(runLog, "utf8").trim().split("\n")
        .map((line) => JSON.parse(line) as Run & { readonly server: string })
        .filter(({ key, server }) =>
          targetIds.has(server) && key !== null && !key.startsWith(TARGET)
        )
        .map(({ atMs }) => atMs)
        .sort((a, b) => a - b),
  };
}

function listTargetIds(system: RunningSystem): string[] {
  return findServers(system, SERVICE, TARGET).map(({ instance }) =>
    instance.id
  );
}

/** Starts callers of a region, which is the prefix of their keys. */
function startCallers(
  t: ExecutionContext,
  system: RunningSystem,
  region: string,
  callers = 10,
): Load {
  return startLoad(t, system.entries, {
    service: SERVICE,
    path: "/availability",
    from: CALLERS[region]!,
    // The target's own callers leave most slots to shifted requests.
    callers: region === TARGET ? 1 : callers,
    pauseMs: region === TARGET ? 20 : 0,
    makeHeaders: (sent) => ({ "idempotency-key": `${region}-${sent}` }),
  });
}

async function readShare(entry: EntryProcess): Promise<number> {
  const { owned } = await readStatus(entry);
  return owned.find(({ region }) => region === TARGET)?.shift.share ?? 0;
}

function readClock(): number {
  return performance.timeOrigin + performance.now();
}

/**
 * Waits until the owner allows the whole cap, and then for `USED_WINDOWS`
 * windows. Returns the number of shifted runs in these windows.
 */
async function waitForFullUse(
  owner: EntryProcess,
  shift: Shift,
): Promise<number> {
  await waitUntil(async () => await readShare(owner) === 1, {
    timeoutMs: 15_000,
    what: "the whole cap allowed",
  });
  const sinceMs = readClock() + WINDOW_MS;
  const untilMs = sinceMs + USED_WINDOWS * WINDOW_MS;
  await waitUntil(() => readClock() >= untilMs, {
    timeoutMs: 10_000,
    what: "windows of full use",
  });
  return shift.readShifted().filter((atMs) => atMs >= sinceMs && atMs < untilMs)
    .length;
}

/** Finds the largest number of starts in any window of `WINDOW_MS`. */
function findLargestWindow(starts: readonly number[]): number {
  let first = 0;
  let largest = 0;
  for (const [index, atMs] of starts.entries()) {
    while (atMs - starts[first]! >= WINDOW_MS) first += 1;
    largest = Math.max(largest, index - first + 1);
  }
  return largest;
}

async function assertBounds(t: ExecutionContext, shift: Shift): Promise<void> {
  const starts = shift.readShifted();
  const largest = findLargestWindow(starts);
  t.log(`${starts.length} shifted runs, at most ${largest} in a window`);
  t.true(starts.length > CAP);
  t.true(largest <= CAP, `${largest} shifted runs began in one window`);
  for (const server of findServers(shift.system, SERVICE, TARGET)) {
    const counters = await readCounters<ServerCounters>(server.controlUrl);
    t.is(counters.overSlots, 0);
  }
}

function assertUsed(t: ExecutionContext, used: number): void {
  const share = used / (CAP * USED_WINDOWS);
  t.log(`${Math.round(share * 100)} % of the cap was used`);
  t.true(share >= USED_SHARE, `${share} of the cap was used`);
}

async function killServers(system: RunningSystem, region: string) {
  for (const server of findServers(system, SERVICE, region)) {
    server.process.kill();
    await server.process.exited;
  }
}

// Guards against shifted load that exceeds the team's cap or leaves it unused.
test.serial("a shift stays within the cap and uses it", async (t) => {
  t.timeout(45_000);
  const shift = await startShift(t, {
    sources: ["southeast"],
    entriesPerRegion: 1,
  });
  const { system } = shift;
  const owner = (await findOwner(system.entries, SERVICE, TARGET))!;
  const targetLoad = startCallers(t, system, TARGET);
  const load = startCallers(t, system, "southeast");
  await waitUntil(() => load.countAnswered(0) >= 50, {
    timeoutMs: 10_000,
    what: "a steady load",
  });
  t.is(shift.readShifted().length, 0);
  for (const { controlUrl } of findServers(system, SERVICE, "southeast")) {
    await setFaults(controlUrl, { draining: true });
  }
  assertUsed(t, await waitForFullUse(owner, shift));
  const records = [...await load.stop(), ...await targetLoad.stop()];
  t.deepEqual(records.filter(({ outcome }) => outcome === "cut"), []);
  await assertBounds(t, shift);
});

const OWNER_STOPS: Readonly<Record<string, (entry: EntryProcess) => void>> = {
  "is killed": ({ process }) => process.kill(),
  // The next owner opens the group within the last window of the leaving one.
  leaves: ({ process }) => process.terminate(),
};

for (const [name, stop] of Object.entries(OWNER_STOPS)) {
  // Guards against a new owner that grants the cap again in the same window.
  test.serial(`the cap holds when the target's owner ${name}`, async (t) => {
    t.timeout(45_000);
    const shift = await startShift(t, {
      sources: ["southeast"],
      entriesPerRegion: 2,
    });
    const { system } = shift;
    const owner = (await findOwner(system.entries, SERVICE, TARGET))!;
    const load = startCallers(t, system, "southeast");
    await killServers(system, "southeast");
    await waitForFullUse(owner, shift);
    const stoppedMs = performance.now();
    stop(owner);
    const others = system.entries.filter((entry) => entry !== owner);
    const next = await waitForNextOwner(others);
    t.log(`replaced after ${Math.round(performance.now() - stoppedMs)} ms`);
    await waitUntil(async () => await readShare(next) >= 0.5, {
      timeoutMs: 10_000,
      what: "shifted work at the new owner",
    });
    await load.stop();
    await assertBounds(t, shift);
  });
}

async function waitForNextOwner(
  others: readonly EntryProcess[],
): Promise<EntryProcess> {
  let next: EntryProcess | undefined;
  await waitUntil(async () => {
    next = await findOwner(others, SERVICE, TARGET);
    return next !== undefined;
  }, { timeoutMs: 20_000, what: "another owner" });
  return next!;
}

// Guards against a cap that is granted to each source region separately.
test.serial("two regions that shift at once share one cap", async (t) => {
  t.timeout(45_000);
  const sources = ["southeast", "capricorn"];
  const shift = await startShift(t, { sources, entriesPerRegion: 1 });
  const { system } = shift;
  const owner = (await findOwner(system.entries, SERVICE, TARGET))!;
  const loads = sources.map((region) => startCallers(t, system, region, 25));
  await Promise.all(sources.map((region) => killServers(system, region)));
  assertUsed(t, await waitForFullUse(owner, shift));
  for (const load of loads) {
    await load.stop();
    t.true(load.countAnswered(0) > 0);
  }
  await assertBounds(t, shift);
});
