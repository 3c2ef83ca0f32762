import test from "ava";
import { randomUUID } from "node:crypto";
import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { handler } from "@dotterelmoor/command.replay";
import {
  callOperatorApi,
  lookUp,
  sendRequest,
  startSystem,
  waitForGroups,
  waitUntil,
} from "@dotterelmoor/testing.demo";
import type { EntryProcess, RunningSystem } from "@dotterelmoor/testing.demo";

const FROM = "127.1.0.5";
const HOLD = { service: "holdkeeper", path: "/holds", from: FROM } as const;
const QUERY = { service: "availdesk", path: "/availability", from: FROM };

/** Modules whose state machines are recorded in a run with two regions. */
const MODULES = [
  "claiming",
  "configuring",
  "dispatching",
  "membership",
  "ownership",
  "permitting/holder",
  "permitting/ledger",
  "quarantine",
  "retrying",
  "shifting",
];

async function readStatus(entry: EntryProcess) {
  const { body } = await callOperatorApi<{
    readonly configuration: { readonly sequence: number };
  }>(entry.operators, "/v1/status");
  return body;
}

async function sendRequests(system: RunningSystem): Promise<void> {
  for (const { callers } of system.entries) {
    const { issuedKey } = await lookUp(callers, HOLD);
    for (const key of [issuedKey, randomUUID(), randomUUID()]) {
      // The second request with the same key fails its claim.
      await sendRequest(callers, { ...HOLD, method: "POST", key });
      await sendRequest(callers, { ...HOLD, method: "POST", key });
    }
    await Promise.all(
      Array.from({ length: 20 }, () => sendRequest(callers, QUERY)),
    );
  }
}

async function changeDocument(system: RunningSystem): Promise<void> {
  const { operators } = system.entries[0]!;
  const path = "/v1/documents/availdesk";
  const { body: before } = await callOperatorApi<
    { readonly text: string; readonly version: number }
  >(operators, path);
  const { body } = await callOperatorApi<{ readonly sequence: number }>(
    operators,
    path,
    {
      method: "PUT",
      json: {
        text: before.text.replace(/linkShare: [\d.]+/, "linkShare: 0.1"),
        editedFrom: before.version,
        changeId: randomUUID(),
        why: "Other permits",
      },
    },
  );
  await waitUntil(async () => {
    const all = await Promise.all(system.entries.map(readStatus));
    return all.every((status) =>
      status.configuration.sequence >= body.sequence
    );
  }, { timeoutMs: 5_000, what: "the change in force" });
}

async function drainServer(system: RunningSystem): Promise<void> {
  const { id } = system.servers[0]!.instance;
  await callOperatorApi(system.entries[0]!.operators, `/v1/drains/${id}`, {
    method: "PUT",
    json: { why: "Test", changeId: randomUUID() },
  });
}

function listModules(file: string): string[] {
  const lines = readFileSync(file, "utf8").split("\n").slice(0, -1);
  return lines.map((line) => JSON.parse(line).module);
}

// Replays the traces of entries that served requests, changed a document,
// drained a server and were killed or terminated. A decision that depends on
// input which the trace lacks differs in the replay.
test("guards against a daemon whose decisions depend on more than its trace", async (t) => {
  const recordDirectory = mkdtempSync(join(tmpdir(), "dotterelmoor-record-"));
  t.teardown(() => rmSync(recordDirectory, { recursive: true, force: true }));
  const system = await startSystem({
    example: "consortium",
    regions: ["southeast", "farnorth"],
    teams: ["availdesk", "holdkeeper"],
    entriesPerRegion: 1,
    serversPerGroup: 2,
    recordDirectory,
  });
  t.teardown(() => system.stop());
  await waitForGroups(system, 4);
  await sendRequests(system);
  await drainServer(system);
  await changeDocument(system);
  await sendRequests(system);
  const [survivor, killed] = system.entries;
  const load = Promise.allSettled(
    Array.from({ length: 40 }, () => sendRequest(killed!.callers, QUERY)),
  );
  killed!.process.kill();
  await Promise.all([killed!.process.exited, load]);
  await sendRequest(survivor!.callers, QUERY);
  survivor!.process.terminate();
  t.is(await survivor!.process.exited, 0);

  const files = readdirSync(recordDirectory)
    .map((file) => join(recordDirectory, file));
  t.is(files.length, 2);
  const modules = new Set(files.flatMap(listModules));
  t.deepEqual([...modules].sort(), MODULES);
  const printed: string[] = [];
  const args = { files, quiet: true };
  const exitCode = await handler(args, (text) => printed.push(text));
  t.deepEqual(printed, []);
  t.is(exitCode, 0);
});
