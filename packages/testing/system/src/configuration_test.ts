import { randomUUID } from "node:crypto";
import type { ExecutionContext } from "ava";
import test from "ava";
import {
  callOperatorApi,
  lookUp,
  readCounters,
  startSystem,
  waitUntil,
} from "@dotterelmoor/testing.demo";
import type { EntryProcess, RunningSystem } from "@dotterelmoor/testing.demo";
import type { PlatformCounters } from "@dotterelmoor/testing.platform";
import { readStatus } from "./change_helpers.ts";

const TEAM = "holdkeeper";
const REGIONS = ["southeast", "farnorth", "capricorn"];
/** Longest time from the acceptance of a change until all entries apply it. */
const IN_FORCE_MS = 2_000;

interface DocumentView {
  readonly text: string;
  readonly version: number;
}

interface AcceptedChange {
  readonly sequence: number;
  readonly alreadyApplied: boolean;
}

interface RefusedChange {
  readonly error?: ConflictView;
  readonly winner?: ConflictView["winner"];
}

interface ConflictView {
  readonly winner?: {
    readonly version: number;
    readonly differences: readonly string[];
  };
}

interface SequenceWatch {
  /** Entries whose sequence went down, as far as the polls saw it. */
  readonly reverted: string[];
}

/** Starts 6 entries without backend servers and watches their sequences. */
async function startEntries(t: ExecutionContext) {
  const system = await startSystem({
    example: "consortium",
    regions: REGIONS,
    entriesPerRegion: 2,
    serversPerGroup: 0,
    teams: [TEAM],
  });
  t.teardown(() => system.stop());
  const watch = watchSequences(t, system);
  await waitForSequence(system.entries, 1, 15_000);
  return { system, watch };
}

/** Polls the sequence of every entry until the test ends. */
function watchSequences(
  t: ExecutionContext,
  system: RunningSystem,
): SequenceWatch {
  const reverted: string[] = [];
  const highest = new Map<string, number>();
  let stopped = false;
  async function pollEntry(entry: EntryProcess): Promise<void> {
    const status = await readStatus(entry).catch(() => undefined);
    if (status === undefined) return;
    const { sequence } = status.configuration;
    const before = highest.get(entry.instance) ?? 0;
    if (sequence < before) {
      reverted.push(`${entry.instance}: ${before} to ${sequence}`);
    }
    highest.set(entry.instance, Math.max(sequence, before));
  }
  const polling = new Map<string, Promise<void>>();
  const running = waitUntil(() => {
    for (const entry of system.entries) {
      // Skips a frozen entry, whose previous poll is still pending.
      if (polling.has(entry.instance)) continue;
      const poll = pollEntry(entry).finally(() =>
        polling.delete(entry.instance)
      );
      polling.set(entry.instance, poll);
    }
    return stopped;
  }, { timeoutMs: 60_000, what: "the end of the test" });
  t.teardown(async () => {
    stopped = true;
    await running;
  });
  return { reverted };
}

async function waitForSequence(
  entries: readonly EntryProcess[],
  sequence: number,
  timeoutMs = IN_FORCE_MS,
): Promise<number> {
  return await waitUntil(async () => {
    const reports = await Promise.all(entries.map(readStatus));
    return reports.every(({ configuration }) =>
      configuration.ready && configuration.sequence >= sequence
    );
  }, { timeoutMs, what: `sequence ${sequence} at every entry` });
}

async function readDocument(entry: EntryProcess): Promise<DocumentView> {
  const path = `/v1/documents/${TEAM}`;
  return (await callOperatorApi<DocumentView>(entry.operators, path)).body;
}

function setCap({ text }: DocumentView, cap: number): string {
  return text.replace(/cap: \d+/, `cap: ${cap}`);
}

interface Submission {
  readonly text: string;
  readonly editedFrom: number;
  readonly changeId: string;
}

function submit(entry: EntryProcess, submission: Submission) {
  return callOperatorApi<AcceptedChange & RefusedChange>(
    entry.operators,
    `/v1/documents/${TEAM}`,
    { method: "PUT", json: { ...submission, why: "Test" } },
  );
}

async function submitCap(
  entry: EntryProcess,
  cap: number,
): Promise<AcceptedChange> {
  const before = await readDocument(entry);
  const { status, body } = await submit(entry, {
    text: setCap(before, cap),
    editedFrom: before.version,
    changeId: randomUUID(),
  });
  if (status !== 200) throw new Error(`Cannot submit change: status ${status}`);
  return body;
}

/** Reads the change ids of the audit rows, newest first. */
async function readHistory(entry: EntryProcess): Promise<string[]> {
  const { body } = await callOperatorApi<
    { readonly changes: readonly { readonly changeId: string }[] }
  >(entry.operators, "/v1/history?limit=20");
  return body.changes.map(({ changeId }) => changeId);
}

// Guards against an entry that misses a change, or that returns to an older
// configuration after it was frozen.
test.serial("a change is soon in force everywhere and stays", async (t) => {
  t.timeout(45_000);
  const { system, watch } = await startEntries(t);
  const { entries } = system;
  const [first, frozen] = [entries[0]!, entries.at(-1)!];
  let last = 1;
  for (const [index, entry] of entries.entries()) {
    last = (await submitCap(entry, 50 + index)).sequence;
    const tookMs = await waitForSequence(entries, last);
    t.log(`sequence ${last} in force after ${Math.round(tookMs)} ms`);
  }

  frozen.process.freeze();
  const others = entries.filter((entry) => entry !== frozen);
  for (const cap of [60, 61]) {
    last = (await submitCap(first, cap)).sequence;
    await waitForSequence(others, last);
  }
  frozen.process.resume();
  await waitForSequence(entries, last, 10_000);
  // When this change is in force, any outdated state that the resumed entry
  // sent to its peers has arrived.
  last = (await submitCap(frozen, 62)).sequence;
  await waitForSequence(entries, last);
  t.is((await readHistory(first)).length, last - 1);
  t.deepEqual(watch.reverted, []);
});

// Guards against a conflicting change that overwrites the accepted one.
test.serial("of two racing operators exactly one wins", async (t) => {
  t.timeout(45_000);
  const { system, watch } = await startEntries(t);
  const [first, , second] = system.entries;
  const before = await readDocument(first!);
  const submissions = [70, 71].map((cap) => ({
    text: setCap(before, cap),
    editedFrom: before.version,
    changeId: randomUUID(),
  }));
  const results = await Promise.all([
    submit(first!, submissions[0]!),
    submit(second!, submissions[1]!),
  ]);
  t.deepEqual(results.map(({ status }) => status).sort(), [200, 409]);
  const winnerIndex = results.findIndex(({ status }) => status === 200);
  const refused = results[1 - winnerIndex]!.body;
  const winner = refused.winner ?? refused.error?.winner;
  t.is(winner?.version, results[winnerIndex]!.body.sequence);
  t.true(
    winner!.differences.some((line) => line.includes(String(70 + winnerIndex))),
  );

  const repeated = await submit(second!, submissions[winnerIndex]!);
  t.is(repeated.status, 200);
  t.is(repeated.body.sequence, results[winnerIndex]!.body.sequence);
  t.true(repeated.body.alreadyApplied);
  await waitForSequence(system.entries, repeated.body.sequence);
  t.deepEqual(await readHistory(first!), [submissions[winnerIndex]!.changeId]);
  t.is((await readDocument(first!)).text, submissions[winnerIndex]!.text);
  t.deepEqual(watch.reverted, []);
});

// Guards against a change that is applied again when the operator retries it.
test.serial("a change whose answer is lost is applied once", async (t) => {
  t.timeout(45_000);
  const { system, watch } = await startEntries(t);
  const entry = system.entries[0]!;
  const before = await readDocument(entry);
  const submission = {
    text: setCap(before, 55),
    editedFrom: before.version,
    changeId: randomUUID(),
  };
  // Lease renewals use up some of the lost answers; the rest hit the change.
  await system.setPlatformFaults({ loseAnswers: 6 });
  let accepted: AcceptedChange | undefined;
  await waitUntil(async () => {
    const { status, body } = await submit(entry, submission);
    if (status === 200) accepted = body;
    else t.true([503, 504].includes(status), `Status ${status}`);
    return status === 200;
  }, { timeoutMs: 20_000, what: "an accepted change" });
  const counters = await readCounters<PlatformCounters>(
    system.platformControlUrl,
  );
  t.true(counters.answersLost > 0);
  t.is(accepted!.sequence, 2);
  await waitForSequence(system.entries, 2);
  t.deepEqual(await readHistory(entry), [submission.changeId]);
  t.deepEqual(watch.reverted, []);
});

// Guards against an entry that needs the store at its start although its peers
// have the configuration.
test.serial("an entry that starts in a store outage serves", async (t) => {
  t.timeout(45_000);
  const { system, watch } = await startEntries(t);
  const { sequence } = await submitCap(system.entries[0]!, 65);
  await waitForSequence(system.entries, sequence);
  await system.setPlatformFaults({ down: true });
  const zone = system.platform.regions.find(({ name }) => name === REGIONS[0])!
    .zones[0]!;
  const started = await system.startEntry(REGIONS[0]!, zone);
  const { configuration } = await readStatus(started);
  t.is(configuration.sequence, sequence);
  t.true(configuration.ready);
  await waitUntil(async () => {
    const lookup = await lookUp(started.callers, {
      service: TEAM,
      from: "127.1.0.5",
    });
    return lookup.sequence === sequence && lookup.entries.length > 0;
  }, { timeoutMs: 5_000, what: "a lookup answered by the new entry" });
  await system.setPlatformFaults({ down: false });
  const next = await submitCap(system.entries[0]!, 66);
  await waitForSequence(system.entries, next.sequence, 5_000);
  t.deepEqual(watch.reverted, []);
});
