import { randomUUID } from "node:crypto";
import test from "ava";
import { callOperatorApi, waitUntil } from "@dotterelmoor/testing.demo";
import type { EntryProcess, RunningSystem } from "@dotterelmoor/testing.demo";
import type { ExecutionContext } from "ava";
import { describeResults, startLoad } from "./calls.ts";
import type { Call, CallResult } from "./calls.ts";
import { readAllCounters } from "./counting.ts";
import { listLeases, readStatus, startTestSystem } from "./test_system.ts";

const SERVICE = "availdesk";
const REGIONS = ["southeast", "farnorth"] as const;
/** Longer than a lease (10 s) and the wait before a takeover (11 s) together. */
const OUTAGE_MS = 25_000;
const CALLERS: Readonly<Record<string, string>> = {
  southeast: "127.1.0.5",
  farnorth: "127.2.0.5",
};

interface DocumentView {
  readonly text: string;
  readonly version: number;
}

interface ChangeAnswer {
  readonly status: number;
  readonly body: { readonly sequence: number };
}

/** Returns a burst with one call of each entry's own region. */
function makeBurst(system: RunningSystem, number: number): Call[] {
  return system.entries.map((entry) => ({
    entry: entry.callers,
    service: SERVICE,
    path: `/availability?suburb=${number}`,
    from: CALLERS[entry.region]!,
  }));
}

/** Waits until each group has an owner and, in another zone, a deputy. */
async function waitForDeputies(system: RunningSystem): Promise<void> {
  await waitUntil(async () => {
    const leases = (await Promise.all(system.entries.map(listLeases))).flat();
    return REGIONS.every((region) =>
      leases.some((lease) =>
        lease.region === region && lease.owner !== 0 && lease.deputy !== 0
      )
    );
  }, { timeoutMs: 10_000, what: "deputies for both groups" });
}

async function readDocument(entry: EntryProcess): Promise<DocumentView> {
  const path = `/v1/documents/${SERVICE}`;
  return (await callOperatorApi<DocumentView>(entry.operators, path)).body;
}

/** Submits the document with another shift cap. */
function submitCap(
  entry: EntryProcess,
  before: DocumentView,
  cap: number,
): Promise<ChangeAnswer> {
  return callOperatorApi(entry.operators, `/v1/documents/${SERVICE}`, {
    method: "PUT",
    json: {
      text: before.text.replace(/cap: \d+/, `cap: ${cap}`),
      editedFrom: before.version,
      changeId: randomUUID(),
      why: "Test of an outage",
    },
  });
}

async function waitForSequence(
  system: RunningSystem,
  sequence: number,
): Promise<number> {
  return await waitUntil(async () => {
    const statuses = await Promise.all(system.entries.map(readStatus));
    return statuses.every((status) =>
      status.configuration.sequence >= sequence
    );
  }, { timeoutMs: 2_000, what: `sequence ${sequence} in force everywhere` });
}

function assertServedAtHome(
  t: ExecutionContext,
  results: readonly CallResult[],
): void {
  const failed = results.filter(({ outcome }) => outcome !== "answered");
  t.log(`${results.length} requests: ${describeResults(results)}`);
  t.is(failed.length, 0, describeResults(failed));
  for (const region of REGIONS) {
    const ofRegion = results.filter(({ call }) =>
      call.from === CALLERS[region]
    );
    const atHome = ofRegion.filter(({ server }) => server.includes(region));
    t.true(ofRegion.length > 400, `${ofRegion.length} calls of ${region}`);
    t.is(atHome.length, ofRegion.length, `${region} was not served at home`);
  }
}

// The outage outlasts every lease, so owners cannot renew them in the store.
test.serial("guards against groups that close and versions that revert while the store is down", async (t) => {
  const system = await startTestSystem(t, {
    example: "consortium",
    regions: REGIONS,
    entriesPerRegion: 2,
    serversPerGroup: 2,
    teams: [SERVICE],
    serverFlags: ["--service-ms", "20"],
  });
  const [first] = system.entries as [EntryProcess];
  await waitForDeputies(system);
  const changed = await submitCap(first, await readDocument(first), 60);
  t.is(changed.status, 200);
  await waitForSequence(system, changed.body.sequence);
  const document = await readDocument(first);

  const load = startLoad({
    intervalMs: 100,
    makeBurst: (number) => makeBurst(system, number),
  });
  await system.setPlatformFaults({ down: true });
  const downSinceMs = performance.now();
  const refused = await submitCap(first, document, 50);
  t.true(refused.status >= 500, `status ${refused.status}`);
  await waitUntil(
    () => performance.now() - downSinceMs >= OUTAGE_MS,
    { timeoutMs: OUTAGE_MS + 1_000, what: "the end of the outage" },
  );
  for (
    const { configuration } of await Promise.all(system.entries.map(readStatus))
  ) {
    t.is(configuration.sequence, changed.body.sequence);
    t.true((configuration.storeSilentMs ?? 0) > OUTAGE_MS - 5_000);
  }
  await system.setPlatformFaults({ down: false });
  let accepted: ChangeAnswer | undefined;
  await waitUntil(async () => {
    accepted = await submitCap(first, document, 70);
    return accepted.status === 200;
  }, { timeoutMs: 5_000, what: "an accepted change with the store back" });
  const tookMs = await waitForSequence(system, accepted!.body.sequence);
  t.log(`in force everywhere after ${Math.round(tookMs)} ms`);
  assertServedAtHome(t, await load.stop());
  await waitUntil(async () => {
    const statuses = await Promise.all(system.entries.map(readStatus));
    return statuses.every(({ configuration }) =>
      configuration.storeSilentMs === null
    );
  }, { timeoutMs: 5_000, what: "a status with the store back" });
  for (const { overSlots } of await readAllCounters(system)) t.is(overSlots, 0);
});
