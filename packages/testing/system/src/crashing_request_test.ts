import { randomUUID } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { callOperators, waitUntil } from "@dotterelmoor/testing.demo";
import type { EntryProcess, RunningSystem } from "@dotterelmoor/testing.demo";
import type { ExecutionContext } from "ava";
import { describeResults, sendCall } from "./calls.ts";
import type { CallResult } from "./calls.ts";
import { countInFlight } from "./counting.ts";
import { startTestSystem } from "./test_system.ts";

const SERVICE = "availdesk";
const CRASH_HEADER = "x-crash";
/** Key header of the crashing request, by which the run log names its runs. */
const CRASH_KEY = "crash";

interface QuarantineView {
  readonly fingerprint: string;
  readonly standing: "suspect" | "convicted";
}

interface CrashSystem {
  readonly system: RunningSystem;
  /** Servers that began to run a request, one for each run of its key. */
  readonly listRuns: (keyPrefix: string) => string[];
  /** Servers whose process has ended. */
  readonly lost: ReadonlySet<string>;
}

async function startCrashSystem(
  t: ExecutionContext,
  regions: readonly string[],
): Promise<CrashSystem> {
  const directory = mkdtempSync(join(tmpdir(), "dotterelmoor-runs-"));
  t.teardown(() => rmSync(directory, { recursive: true, force: true }));
  const runLog = join(directory, "runs");
  const system = await startTestSystem(t, {
    example: "consortium",
    regions,
    entriesPerRegion: regions.length === 1 ? 3 : 2,
    serversPerGroup: 3,
    teams: [SERVICE],
    serverFlags: [
      ...["--service-ms", "250"],
      ...["--crash-header", CRASH_HEADER],
      ...["--run-log", runLog],
    ],
  });
  const lost = new Set<string>();
  for (const { instance, process } of system.servers) {
    void process.exited.then(() => lost.add(instance.id));
  }
  const listRuns = (keyPrefix: string) =>
    readFileSync(runLog, { encoding: "utf8", flag: "a+" })
      .split("\n")
      .filter((line) => line !== "")
      .map((line) => JSON.parse(line) as { server: string; key: string })
      .filter(({ key }) => key.startsWith(keyPrefix))
      .map(({ server }) => server);
  return { system, listRuns, lost };
}

/** The fingerprint covers neither header, so it is the same for both. */
function sendCrash(entry: EntryProcess, crash = true): Promise<CallResult> {
  return sendCall({
    entry: entry.callers,
    service: SERVICE,
    path: "/availability?suburb=crash",
    key: CRASH_KEY,
    headers: crash ? { [CRASH_HEADER]: "1" } : {},
  });
}

function sendInnocent(
  entry: EntryProcess,
  number: number,
): Promise<CallResult> {
  return sendCall({
    entry: entry.callers,
    service: SERVICE,
    path: `/availability?suburb=${number}`,
    key: `innocent-${number}`,
  });
}

async function listConvicted(entry: EntryProcess): Promise<string[]> {
  const answer = await callOperators<
    { readonly quarantine: readonly QuarantineView[] }
  >(entry.operators, "/v1/quarantine");
  return answer.body.quarantine
    .filter(({ standing }) => standing === "convicted")
    .map(({ fingerprint }) => fingerprint);
}

async function waitForQuarantine(
  system: RunningSystem,
  expected: number,
): Promise<string[]> {
  let lists: string[][] = [];
  await waitUntil(async () => {
    lists = await Promise.all(system.entries.map(listConvicted));
    return lists.every((list) => list.length === expected);
  }, {
    timeoutMs: 8_000,
    what: `${expected} quarantined requests on every entry`,
  });
  return lists[0]!;
}

/** Sends innocent requests until each one is answered, as callers do. */
async function sendUntilAnswered(
  system: RunningSystem,
  number: number,
  first: Promise<CallResult>,
): Promise<CallResult[]> {
  const results = [await first];
  await waitUntil(async () => {
    if (results.at(-1)!.outcome === "answered") return true;
    const entry = system.entries[results.length % system.entries.length]!;
    results.push(await sendInnocent(entry, number));
    return false;
  }, { timeoutMs: 10_000, what: `an answer to innocent request ${number}` });
  return results;
}

/** Sends the crashing request among innocent ones that fill the servers. */
async function sendCrashAmongInnocent(
  system: RunningSystem,
): Promise<{ crash: CallResult; innocent: CallResult[][] }> {
  const entries = system.entries;
  const firsts = Array.from(
    { length: 8 },
    (_, number) => sendInnocent(entries[number % entries.length]!, number),
  );
  await waitUntil(async () => await countInFlight(system) >= 6, {
    timeoutMs: 5_000,
    what: "innocent requests at the servers",
  });
  const crash = sendCrash(entries[0]!);
  const innocent = firsts.map((first, number) =>
    sendUntilAnswered(system, number, first)
  );
  return { crash: await crash, innocent: await Promise.all(innocent) };
}

test.serial("guards against a request that crashes one server after another", async (t) => {
  const { system, listRuns, lost } = await startCrashSystem(t, [
    "southeast",
  ]);
  const { crash, innocent } = await sendCrashAmongInnocent(system);
  t.not(crash.outcome, "answered");
  const retries: CallResult[] = [];
  for (let count = 0; count < 10; count += 1) {
    const entry = system.entries[count % system.entries.length]!;
    retries.push(await sendCrash(entry));
  }
  t.log(`retries: ${describeResults(retries)}`);
  t.log(`innocent: ${describeResults(innocent.flat())}`);
  const crashes = listRuns(CRASH_KEY);
  t.true(crashes.length <= 2, `crashed ${crashes.join(", ")}`);
  t.true(lost.size >= 1 && lost.size <= 2, `lost ${[...lost].join(", ")}`);
  for (const { outcome, reason } of retries.slice(2)) {
    t.is(`${outcome} ${reason}`, "not-run quarantined");
  }
  const reasons = innocent.flat().map(({ reason }) => reason);
  t.false(reasons.includes("quarantined"), "an innocent request was convicted");
  t.true(
    listRuns("innocent").length > innocent.length,
    "no innocent request was in flight on a crashed server",
  );
  await assertLift(t, system);
});

/** The request runs again after the lift; its cause is fixed by then. */
async function assertLift(
  t: ExecutionContext,
  system: RunningSystem,
): Promise<void> {
  const [fingerprint] = await waitForQuarantine(system, 1);
  const last = system.entries.at(-1)!;
  const lifted = await callOperators(
    last.operators,
    `/v1/quarantine/${fingerprint}?why=Fixed&changeId=${randomUUID()}`,
    { method: "DELETE" },
  );
  t.is(lifted.status, 200, JSON.stringify(lifted.body));
  await waitForQuarantine(system, 0);
  await waitUntil(
    async () =>
      (await sendCrash(system.entries[0]!, false)).outcome === "answered",
    { timeoutMs: 5_000, what: "an answer after the lift" },
  );
}

/** Sends the request through all entries in turn, from a given one on. */
async function assertRegionBounds(
  t: ExecutionContext,
  firstEntry: number,
): Promise<void> {
  const { system, listRuns, lost } = await startCrashSystem(t, [
    "southeast",
    "farnorth",
  ]);
  const results: CallResult[] = [];
  for (let count = 0; count < 10; count += 1) {
    const entry = system.entries[(firstEntry + count) % system.entries.length]!;
    results.push(await sendCrash(entry));
  }
  await waitForQuarantine(system, 1);
  const crashes = listRuns(CRASH_KEY);
  const count = (region: string) =>
    crashes.filter((server) => server.includes(region)).length;
  t.log(`${describeResults(results)}; crashed ${crashes.join(", ")}`);
  t.true(count("southeast") >= 1 && count("southeast") <= 2);
  t.true(count("farnorth") <= 1);
  t.is(lost.size, crashes.length);
  t.is(results.at(-1)!.reason, "quarantined");
}

test.serial("guards against a crashing request that goes on to the servers of other regions", (t) =>
  assertRegionBounds(t, 0));

test.serial("guards against a crashing request that meets another region first", (t) =>
  assertRegionBounds(t, 1));
