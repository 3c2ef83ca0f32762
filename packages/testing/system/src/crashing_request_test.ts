import { randomUUID } from "node:crypto";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { callOperatorApi, waitUntil } from "@dotterelmoor/testing.demo";
import type { EntryProcess, RunningSystem } from "@dotterelmoor/testing.demo";
import type { ExecutionContext } from "ava";
import { describeResults, sendCall } from "./calls.ts";
import type { CallResult } from "./calls.ts";
import { countInFlight } from "./counting.ts";
import { startTestSystem } from "./test_system.ts";

const SERVICE = "availdesk";
const CRASH_HEADER = "x-crash";
/** Idempotency key of the crashing request, by which the run log lists it. */
const CRASH_KEY = "crash";

interface QuarantineView {
  readonly fingerprint: string;
  readonly standing: "suspect" | "convicted";
}

interface CrashSystem {
  readonly system: RunningSystem;
  /** Lists the server of each run whose key has the prefix. */
  readonly listRuns: (keyPrefix: string) => string[];
  /** Ids of servers whose process has exited. */
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

/**
 * Sends the request that crashes servers, or the same one without the crash
 * header. The fingerprint covers neither the key nor the crash header, so it is
 * the same for both.
 */
function sendCrash(entry: EntryProcess, crash = true): Promise<CallResult> {
  return sendCall({
    entry: entry.callers,
    service: SERVICE,
    path: "/availability?suburb=crash",
    key: CRASH_KEY,
    headers: crash ? { [CRASH_HEADER]: "1" } : {},
  });
}

function sendHarmless(
  entry: EntryProcess,
  number: number,
): Promise<CallResult> {
  return sendCall({
    entry: entry.callers,
    service: SERVICE,
    path: `/availability?suburb=${number}`,
    key: `harmless-${number}`,
  });
}

async function listConvicted(entry: EntryProcess): Promise<string[]> {
  const answer = await callOperatorApi<
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

/** Retries a harmless request through the entries in turn until answered. */
async function sendUntilAnswered(
  system: RunningSystem,
  number: number,
  first: Promise<CallResult>,
): Promise<CallResult[]> {
  const results = [await first];
  await waitUntil(async () => {
    if (results.at(-1)!.outcome === "answered") return true;
    const entry = system.entries[results.length % system.entries.length]!;
    results.push(await sendHarmless(entry, number));
    return false;
  }, { timeoutMs: 10_000, what: `an answer to harmless request ${number}` });
  return results;
}

/** Sends the crashing request while harmless ones occupy the servers. */
async function sendCrashAmongHarmless(
  system: RunningSystem,
): Promise<{ crash: CallResult; harmless: CallResult[][] }> {
  const entries = system.entries;
  const firsts = Array.from(
    { length: 8 },
    (_, number) => sendHarmless(entries[number % entries.length]!, number),
  );
  await waitUntil(async () => await countInFlight(system) >= 6, {
    timeoutMs: 5_000,
    what: "harmless requests at the servers",
  });
  const crash = sendCrash(entries[0]!);
  const harmless = firsts.map((first, number) =>
    sendUntilAnswered(system, number, first)
  );
  return { crash: await crash, harmless: await Promise.all(harmless) };
}

// Retries by callers would carry the request from server to server, and a
// harmless request in flight on a crashed server must not be quarantined.
test.serial("guards against a request that crashes one server after another", async (t) => {
  const { system, listRuns, lost } = await startCrashSystem(t, [
    "southeast",
  ]);
  const { crash, harmless } = await sendCrashAmongHarmless(system);
  t.not(crash.outcome, "answered");
  const retries: CallResult[] = [];
  for (let count = 0; count < 10; count += 1) {
    const entry = system.entries[count % system.entries.length]!;
    retries.push(await sendCrash(entry));
  }
  t.log(`retries: ${describeResults(retries)}`);
  t.log(`harmless: ${describeResults(harmless.flat())}`);
  const crashes = listRuns(CRASH_KEY);
  t.true(crashes.length <= 2, `crashed ${crashes.join(", ")}`);
  t.true(
    lost.size >= 1 && lost.size <= 2,
    `lost ${[...lost].join(", ")}`,
  );
  for (const { outcome, reason } of retries.slice(2)) {
    t.is(`${outcome} ${reason}`, "not-run quarantined");
  }
  const reasons = harmless.flat().map(({ reason }) => reason);
  t.false(
    reasons.includes("quarantined"),
    "a harmless request was quarantined",
  );
  t.true(
    listRuns("harmless").length > harmless.length,
    "no harmless request was in flight on a crashed server",
  );
  await assertLift(t, system);
});

/**
 * Lifts the quarantine and checks that the request is answered afterwards. It
 * is sent without the crash header, as if the fault had been fixed.
 */
async function assertLift(
  t: ExecutionContext,
  system: RunningSystem,
): Promise<void> {
  const [fingerprint] = await waitForQuarantine(system, 1);
  const last = system.entries.at(-1)!;
  const lifted = await callOperatorApi(
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

/**
 * Sends the crashing request through the entries of two regions in turn,
 * starting with the given one, and checks the number of crashes per region.
 * Once all entries know of the quarantine, each one has to name it.
 */
async function assertRegionBounds(
  t: ExecutionContext,
  firstEntry: number,
): Promise<void> {
  const { system, listRuns, lost } = await startCrashSystem(t, [
    "southeast",
    "farnorth",
  ]);
  const results: CallResult[] = [];
  const sendNext = async () => {
    const index = (firstEntry + results.length) % system.entries.length;
    results.push(await sendCrash(system.entries[index]!));
  };
  for (let count = 0; count < 9; count += 1) await sendNext();
  await waitForQuarantine(system, 1);
  for (let count = 0; count < system.entries.length; count += 1) {
    await sendNext();
  }
  const crashes = listRuns(CRASH_KEY);
  const count = (region: string) =>
    crashes.filter((server) => server.includes(region)).length;
  t.log(`${describeResults(results)}; crashed ${crashes.join(", ")}`);
  t.true(count("southeast") >= 1 && count("southeast") <= 2);
  t.true(count("farnorth") <= 1);
  t.is(lost.size, crashes.length);
  for (const { outcome, reason } of results.slice(9)) {
    t.is(`${outcome} ${reason}`, "not-run quarantined");
  }
}

// Callers retry through entries of both regions. At most two servers of the
// home region and one of the other region may crash.
test.serial("guards against a crashing request that goes on to the servers of other regions", (t) =>
  assertRegionBounds(t, 0));

// As above, but the first request is sent through an entry of another region.
test.serial("guards against a crashing request that meets another region first", (t) =>
  assertRegionBounds(t, 1));
