import { randomUUID } from "node:crypto";
import test from "ava";
import { lookUp, waitUntil } from "@dotterelmoor/testing.demo";
import type { EntryProcess, RunningSystem } from "@dotterelmoor/testing.demo";
import type { ExecutionContext } from "ava";
import { describeResults, FIRST_REGION_CALLER, sendCall } from "./calls.ts";
import type { Call, CallResult } from "./calls.ts";
import {
  countInFlight,
  countRunsByKey,
  listFalseRefusals,
  listRepeated,
} from "./counting.ts";
import { findOwner, readStatus, startTestSystem } from "./test_system.ts";

const SERVICE = "holdkeeper";
/** Deadline of requests to hold routes, as set in the document. */
const DEADLINE_MS = 3_000;

function startHolds(
  t: ExecutionContext,
  serviceMs: number,
): Promise<RunningSystem> {
  return startTestSystem(t, {
    example: "consortium",
    regions: ["southeast"],
    entriesPerRegion: 3,
    serversPerGroup: 3,
    teams: [SERVICE],
    serverFlags: ["--service-ms", String(serviceMs)],
  });
}

function makeKeys(count: number): string[] {
  return Array.from({ length: count }, () => randomUUID());
}

function sendHold(
  entry: EntryProcess,
  key: string,
  overrides: Partial<Call> = {},
): Promise<CallResult> {
  return sendCall({
    entry: entry.callers,
    service: SERVICE,
    path: "/holds",
    method: "POST",
    key,
    body: `hold ${key}`,
    ...overrides,
  });
}

function sendHolds(
  entry: EntryProcess,
  keys: readonly string[],
  overrides: Partial<Call> = {},
): Promise<CallResult[]> {
  return Promise.all(keys.map((key) => sendHold(entry, key, overrides)));
}

/** Checks the run counts now, and again when no request can be in flight. */
async function assertAtMostOnce(
  t: ExecutionContext,
  system: RunningSystem,
  results: readonly CallResult[],
): Promise<ReadonlyMap<string, number>> {
  const earlyRuns = await countRunsByKey(system);
  t.deepEqual(listFalseRefusals(results, earlyRuns), [], "ran despite not-run");
  const finishedMs = performance.now();
  // A request that is still queued at an entry can run until its deadline.
  await waitUntil(
    () => performance.now() - finishedMs > DEADLINE_MS,
    { timeoutMs: DEADLINE_MS + 1_000, what: "the end of the last deadline" },
  );
  await waitUntil(async () => await countInFlight(system) === 0, {
    timeoutMs: 5_000,
    what: "idle servers",
  });
  const finalRuns = await countRunsByKey(system);
  t.deepEqual(listRepeated(finalRuns), [], describeResults(results));
  t.deepEqual(listFalseRefusals(results, finalRuns), [], "ran after not-run");
  t.log(`${finalRuns.size} keys ran; ${describeResults(results)}`);
  return finalRuns;
}

async function findOwnerAndOthers(
  system: RunningSystem,
): Promise<{ owner: EntryProcess; others: EntryProcess[] }> {
  const owner = await findOwner(system.entries, {
    service: SERVICE,
    region: "southeast",
  });
  if (owner === undefined) throw new Error("The group has no owner");
  const others = system.entries.filter((entry) => entry !== owner);
  return { owner, others };
}

// Both entries claim the same keys; the third entry finds each key used.
test.serial("guards against holds that run twice when sent through two entries at once", async (t) => {
  const system = await startHolds(t, 20);
  const [first, second, third] = system.entries as [
    EntryProcess,
    EntryProcess,
    EntryProcess,
  ];
  const keys = makeKeys(90);
  const results = (await Promise.all([
    sendHolds(first, keys),
    sendHolds(second, keys),
  ])).flat();
  const repeated = await sendHolds(third, keys);
  const runs = await assertAtMostOnce(t, system, [...results, ...repeated]);
  const answered = results.filter(({ outcome }) => outcome === "answered");
  t.is(answered.length, keys.length, describeResults(results));
  t.is(runs.size, keys.length);
  t.true(
    repeated.every(({ status }) => status === 409),
    describeResults(repeated),
  );
});

// The caller repeats its holds at another entry while the servers still run
// those that the killed entry had sent.
test.serial("guards against holds that run again after their entry was killed", async (t) => {
  const system = await startHolds(t, 700);
  const { others } = await findOwnerAndOthers(system);
  const [killed, other] = others as [EntryProcess, EntryProcess];
  const keys = makeKeys(18);
  const sent = sendHolds(killed, keys);
  await waitUntil(async () => await countInFlight(system) >= 5, {
    timeoutMs: 5_000,
    what: "holds at the servers",
  });
  killed.process.kill();
  const results = await sent;
  t.true(results.some(({ outcome }) => outcome === "lost"));
  const repeated = await sendHolds(other, keys);
  const runs = await assertAtMostOnce(t, system, [...results, ...repeated]);
  t.true(runs.size >= 5, `only ${runs.size} holds ran`);
});

// The entry reads the requests from its sockets when it resumes, after the
// caller has repeated them at another entry.
test.serial("guards against holds that a frozen entry runs after its caller went elsewhere", async (t) => {
  const system = await startHolds(t, 300);
  const { others } = await findOwnerAndOthers(system);
  const [frozen, other] = others as [EntryProcess, EntryProcess];
  const issued: string[] = [];
  for (let count = 0; count < 6; count += 1) {
    const lookup = await lookUp(frozen.callers, {
      service: SERVICE,
      from: FIRST_REGION_CALLER,
    });
    issued.push(lookup.issuedKey!);
  }
  const running = makeKeys(12);
  const sent = sendHolds(frozen, running, { timeoutMs: 1_500 });
  await waitUntil(async () => await countInFlight(system) >= 3, {
    timeoutMs: 5_000,
    what: "holds at the servers",
  });
  frozen.process.freeze();
  // These requests wait in the socket buffers of the frozen entry.
  const queued = makeKeys(12);
  const sentWhileFrozen = sendHolds(frozen, [...queued, ...issued], {
    timeoutMs: 1_500,
  });
  const firstResults = (await Promise.all([sent, sentWhileFrozen])).flat();
  t.true(firstResults.some(({ outcome }) => outcome === "lost"));
  const repeated = await sendHolds(other, [...running, ...queued, ...issued]);
  const before = await countRunsByKey(system);
  t.true(
    queued.every((key) => before.get(key) === 1),
    describeResults(repeated),
  );
  frozen.process.resume();
  t.truthy((await readStatus(frozen)).instance);
  await assertAtMostOnce(t, system, [...firstResults, ...repeated]);
});

// An entry cannot tell whether a claim was stored if the response is lost.
test.serial("guards against holds that run twice or not at all while the store loses answers", async (t) => {
  const system = await startHolds(t, 20);
  const [first, second, third] = system.entries as [
    EntryProcess,
    EntryProcess,
    EntryProcess,
  ];
  const results: CallResult[] = [];
  const keys = makeKeys(80);
  for (let start = 0; start < keys.length; start += 8) {
    await system.setPlatformFaults({ loseAnswers: 3 });
    const batch = keys.slice(start, start + 8);
    results.push(
      ...(await Promise.all([
        sendHolds(first, batch),
        sendHolds(second, batch),
      ])).flat(),
    );
  }
  await system.setPlatformFaults({ loseAnswers: 0 });
  results.push(...await sendHolds(third, keys));
  const runs = await assertAtMostOnce(t, system, results);
  t.is(runs.size, keys.length, describeResults(results));
});

// Keys that callers made need the store for their claim; issued keys are
// checked by the entry that issued them.
test.serial("guards against holds that run with the store down, and issued keys that do not", async (t) => {
  const system = await startHolds(t, 20);
  const [first, second] = system.entries as [EntryProcess, EntryProcess];
  await system.setPlatformFaults({ down: true });
  const callerKeys = makeKeys(12);
  const refused = (await Promise.all([
    sendHolds(first, callerKeys.slice(0, 6)),
    sendHolds(second, callerKeys.slice(6)),
  ])).flat();
  for (const { outcome, reason } of refused) {
    t.is(`${outcome} ${reason}`, "not-run store-unavailable");
  }
  const answered: CallResult[] = [];
  const repeated: CallResult[] = [];
  for (let count = 0; count < 10; count += 1) {
    const lookup = await lookUp(first.callers, {
      service: SERVICE,
      from: FIRST_REGION_CALLER,
    });
    const key = lookup.issuedKey!;
    // The second entry forwards a request with this key to the key's issuer.
    const [use, reuse] = count % 2 === 0 ? [first, second] : [second, first];
    answered.push(await sendHold(use, key));
    repeated.push(await sendHold(reuse, key));
  }
  t.true(
    answered.every(({ outcome }) => outcome === "answered"),
    describeResults(answered),
  );
  t.true(
    repeated.every(({ outcome }) => outcome === "unknown"),
    describeResults(repeated),
  );
  const results = [...refused, ...answered, ...repeated];
  const runs = await assertAtMostOnce(t, system, results);
  t.is(runs.size, answered.length);
  await system.setPlatformFaults({ down: false });
  t.deepEqual(listFalseRefusals(refused, await countRunsByKey(system)), []);
  await waitUntil(
    async () => (await sendHold(first, callerKeys[0]!)).outcome === "answered",
    { timeoutMs: 5_000, what: "a hold that runs with the store back" },
  );
  t.deepEqual(listRepeated(await countRunsByKey(system)), []);
});
