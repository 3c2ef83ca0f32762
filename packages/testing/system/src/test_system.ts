/**
 * Starts systems of processes for tests, waits for readiness and stops them.
 *
 * @module
 */

import { createServer } from "node:net";
import type { Server } from "node:net";
import {
  callOperatorApi,
  startSystem,
  waitUntil,
} from "@dotterelmoor/testing.demo";
import type {
  EntryProcess,
  RunningSystem,
  SystemOptions,
} from "@dotterelmoor/testing.demo";
import type { ExecutionContext } from "ava";

/** Abstract Unix socket that serves as a machine-wide lock. */
const LOCK_SOCKET = "\0dotterelmoor-system-tests";
const LOCK_TIMEOUT_MS = 600_000;
const GROUPS_TIMEOUT_MS = 20_000;

/** Fields of an entry's status that tests read. */
export interface EntryStatus {
  readonly instance: string;
  readonly configuration: {
    readonly sequence: number;
    readonly storeSilentMs: number | null;
  };
  readonly session: { readonly phase: string; readonly incarnation: number };
  readonly owned: readonly {
    readonly service: string;
    readonly inFlight: number;
    readonly queued: number;
  }[];
  readonly groups: readonly {
    readonly key: string;
    readonly fresh: boolean;
    readonly value: { readonly open: boolean; readonly owner: number };
  }[];
  readonly members: readonly {
    readonly instance: string;
    readonly state: string;
  }[];
}

/** A lease as `GET /v1/leases` lists it. */
export interface LeaseView {
  readonly service: string;
  readonly region: string;
  readonly owner: number;
  readonly deputy: number;
  readonly fence: number;
}

/** Options of `startTestSystem`. */
export interface TestSystemOptions extends SystemOptions {
  /** Teams of the example to load. Each has one service of the same name. */
  readonly teams: readonly string[];
}

/**
 * Starts a system, waits until every entry sees an owner for each group, and
 * stops the system at the end of the test. A machine-wide lock lets only one
 * such system run at a time, because ava runs test files in parallel.
 */
export async function startTestSystem(
  t: ExecutionContext,
  options: TestSystemOptions,
): Promise<RunningSystem> {
  t.timeout(LOCK_TIMEOUT_MS);
  const lock = await takeLock();
  t.teardown(() => lock.close());
  const startedMs = performance.now();
  const system = await startSystem(options);
  t.teardown(async () => {
    if (!t.passed) printLogs(t, system);
    await system.stop();
    const seconds = (performance.now() - startedMs) / 1_000;
    t.log(`System ran for ${seconds.toFixed(1)} s`);
  });
  await waitForGroups(system, options);
  return system;
}

/** Waits for the lock, which the kernel releases if the process exits. */
async function takeLock(): Promise<Server> {
  let lock: Server | undefined;
  await waitUntil(async () => (lock = await openLockSocket()) !== undefined, {
    timeoutMs: LOCK_TIMEOUT_MS,
    what: "the end of another system test",
  });
  return lock!;
}

function openLockSocket(): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(LOCK_SOCKET, () => resolve(server));
  });
}

function printLogs(t: ExecutionContext, system: RunningSystem): void {
  for (const { instance, process } of system.entries) {
    const lines = [...process.stdoutLines, ...process.stderrLines];
    t.log(`Last log lines of ${instance}:\n${lines.slice(-25).join("\n")}`);
  }
}

async function waitForGroups(
  system: RunningSystem,
  options: TestSystemOptions,
): Promise<void> {
  const expected = options.teams.length * options.regions.length;
  await waitUntil(async () => {
    const statuses = await Promise.all(system.entries.map(readStatus));
    return statuses.every((status) =>
      status.groups.filter((group) => group.fresh && group.value.open)
          .length === expected &&
      status.members.filter((member) => member.state === "alive")
          .length === system.entries.length
    );
  }, { timeoutMs: GROUPS_TIMEOUT_MS, what: "an owner for each group" });
}

/** Reads the status of an entry. */
export async function readStatus(entry: EntryProcess): Promise<EntryStatus> {
  const answer = await callOperatorApi<EntryStatus>(
    entry.operators,
    "/v1/status",
  );
  return answer.body;
}

/** Lists the leases that an entry reports. */
export async function listLeases(entry: EntryProcess): Promise<LeaseView[]> {
  const answer = await callOperatorApi<{ readonly leases: LeaseView[] }>(
    entry.operators,
    "/v1/leases",
  );
  return answer.body.leases;
}

/**
 * Finds the entry that owns a group. The entries of the group's region must be
 * running and not frozen.
 */
export async function findOwner(
  entries: readonly EntryProcess[],
  group: { readonly service: string; readonly region: string },
): Promise<EntryProcess | undefined> {
  for (const entry of entries) {
    if (entry.region !== group.region) continue;
    const { owned } = await readStatus(entry);
    if (owned.some(({ service }) => service === group.service)) return entry;
  }
  return undefined;
}
