/**
 * Events that the experiment triggers: drains, changes and ended entries.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import { setTimeout as wait } from "node:timers/promises";
import {
  callOperatorApi,
  readCounters,
  waitUntil,
} from "@dotterelmoor/testing.demo";
import type { EntryProcess, RunningSystem } from "@dotterelmoor/testing.demo";

const POLL_MS = 20;
/** Time for which a drain is observed; work of at most 400 ms ends well within
 * it. */
const DRAIN_OBSERVATION_MS = 3_000;
const CHANGE_TIMEOUT_MS = 10_000;
const TAKEOVER_TIMEOUT_MS = 30_000;

interface Status {
  readonly configuration: { readonly sequence: number };
  readonly owned: readonly {
    readonly service: string;
    readonly fence: number;
    readonly closed: boolean;
  }[];
}

/** Activity of a server after an operator's drain of it was accepted. */
export interface DrainResult {
  /** Instance id. */
  readonly server: string;
  /** Runs of the server before the drain. */
  readonly runsBefore: number;
  /** Milliseconds until the last observed start of work. */
  readonly lastStartMs: number;
  /** Milliseconds until work was last observed in flight. */
  readonly idleMs: number;
}

/**
 * Drains a server and observes it for 3 s. Rejects if the drain isn't accepted.
 */
export async function runDrain(system: RunningSystem): Promise<DrainResult> {
  const { controlUrl, instance: { id } } = system.servers[0]!;
  const read = () =>
    readCounters<{ readonly runs: number; readonly inFlight: number }>(
      controlUrl,
    );
  let acceptedMs = Infinity;
  const accepted = callOperatorApi(
    system.entries[0]!.operators,
    `/v1/drains/${id}`,
    {
      method: "PUT",
      json: { why: "Experiment", changeId: randomUUID() },
    },
  ).then(({ status }) => {
    if (status !== 200) throw new Error(`Drain failed with status ${status}`);
    acceptedMs = performance.now();
  });
  let { runs } = await read();
  const runsBefore = runs;
  let lastStartMs = 0;
  let idleMs = 0;
  for (;;) {
    const counters = await read();
    const elapsedMs = Math.max(performance.now() - acceptedMs, 0);
    if (elapsedMs > DRAIN_OBSERVATION_MS) break;
    if (counters.runs > runs) lastStartMs = Math.round(elapsedMs);
    if (counters.inFlight > 0) idleMs = Math.round(elapsedMs);
    runs = counters.runs;
    await wait(POLL_MS);
  }
  await accepted;
  return { server: id, runsBefore, lastStartMs, idleMs };
}

/**
 * Changes the document of a team and returns the milliseconds until the change
 * is in force on all entries. Rejects after 10 s.
 */
export async function runChange(
  system: RunningSystem,
  team: string,
): Promise<number> {
  const { operators } = system.entries[0]!;
  const path = `/v1/documents/${team}`;
  const { body: before } = await callOperatorApi<
    { readonly text: string; readonly version: number }
  >(operators, path);
  const { body } = await callOperatorApi<{ readonly sequence: number }>(
    operators,
    path,
    {
      method: "PUT",
      json: {
        text: before.text.replace(/cap: \d+/, "cap: 30"),
        editedFrom: before.version,
        changeId: randomUUID(),
        why: "Experiment",
      },
    },
  );
  const waitedMs = await waitUntil(async () => {
    const all = await Promise.all(system.entries.map(readStatus));
    return all.every((status) =>
      status.configuration.sequence >= body.sequence
    );
  }, { timeoutMs: CHANGE_TIMEOUT_MS, what: "the change to be in force" });
  return Math.round(waitedMs);
}

/** Result of ending an entry that owned groups. */
export interface EndResult {
  /** Instance id. */
  readonly entry: string;
  /** Services whose groups the entry owned. */
  readonly groups: readonly string[];
  /** Exit code; null after a kill. */
  readonly exitCode: number | null;
  /** Milliseconds until the process ended. */
  readonly exitMs: number;
  /** Milliseconds until other entries own all of its groups. */
  readonly takenOverMs: number;
}

/**
 * Ends an entry that owns groups of a region and waits for their new owners.
 * Rejects if no entry owns one or after 30 s.
 */
export async function runEnd(
  system: RunningSystem,
  region: string,
  how: "kill" | "terminate",
): Promise<EndResult> {
  const regionEntries = system.entries.filter((entry) =>
    entry.region === region
  );
  const { entry, groups } = await findOwner(regionEntries);
  const others = regionEntries.filter((other) => other !== entry);
  const startedMs = performance.now();
  entry.process[how]();
  const exit = entry.process.exited.then((exitCode) => ({
    exitCode,
    exitMs: Math.round(performance.now() - startedMs),
  }));
  // Later events must not call the ended entry.
  system.entries.splice(system.entries.indexOf(entry), 1);
  const takenOverMs = await waitUntil(
    () => hasOwners(others, groups),
    { timeoutMs: TAKEOVER_TIMEOUT_MS, what: "new owners" },
  );
  return {
    entry: entry.instance,
    groups: groups.map(({ service }) => service),
    ...await exit,
    takenOverMs: Math.round(takenOverMs),
  };
}

interface OwnedGroup {
  readonly service: string;
  readonly fence: number;
}

async function findOwner(entries: readonly EntryProcess[]) {
  for (const entry of entries) {
    const { owned } = await readStatus(entry);
    if (owned.length > 0) return { entry, groups: owned };
  }
  throw new Error("No entry in the region owns a group");
}

async function hasOwners(
  entries: readonly EntryProcess[],
  groups: readonly OwnedGroup[],
): Promise<boolean> {
  const owned = (await Promise.all(entries.map(readStatus)))
    .flatMap((status) => status.owned);
  return groups.every((group) =>
    owned.some(({ service, fence, closed }) =>
      service === group.service && fence > group.fence && !closed
    )
  );
}

async function readStatus(entry: EntryProcess): Promise<Status> {
  return (await callOperatorApi<Status>(entry.operators, "/v1/status")).body;
}
