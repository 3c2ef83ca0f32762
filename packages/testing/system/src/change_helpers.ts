/**
 * Steady load and status reads for the tests of planned changes.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { Agent } from "node:http";
import got from "got";
import {
  callOperators,
  lookUp,
  startSystem,
  waitUntil,
} from "@dotterelmoor/testing.demo";
import type {
  EntryProcess,
  RequestView,
  RunningSystem,
  ServerProcess,
  SystemOptions,
} from "@dotterelmoor/testing.demo";

/** A new owner first waits until every older session has lapsed. */
const OPEN_TIMEOUT_MS = 25_000;
const REQUEST_TIMEOUT_MS = 15_000;

/** What a test needs of ava's execution context. */
export interface Teardown {
  teardown(release: () => Promise<void>): void;
  log(...values: unknown[]): void;
}

/** State of a group as an entry knows it. */
export interface GroupReport {
  readonly key: string;
  readonly fresh: boolean;
  readonly value: {
    readonly open: boolean;
    readonly fence: number;
    readonly owner?: string;
    readonly address?: string;
  };
}

/** Parts of the status that tests read. */
export interface StatusReport {
  readonly configuration: {
    readonly sequence: number;
    readonly ready: boolean;
    readonly storeSilentMs: number | null;
  };
  readonly owned: readonly {
    readonly service: string;
    readonly region: string;
    readonly fence: number;
    readonly inFlight: number;
    readonly closed: boolean;
    readonly shift: { readonly share: number; readonly used: number };
  }[];
  readonly groups: readonly GroupReport[];
}

/** Reads the status of an entry. */
export async function readStatus(entry: EntryProcess): Promise<StatusReport> {
  const { body } = await callOperators<StatusReport>(
    entry.operators,
    "/v1/status",
  );
  return body;
}

/** Starts a system that ends with the test, and waits for its groups. */
export async function startOpenSystem(
  t: Teardown,
  options: SystemOptions,
): Promise<RunningSystem> {
  const system = await startSystem(options);
  t.teardown(() => system.stop());
  await waitForOpenGroups(system);
  return system;
}

/** Waits until every group that has servers is open at its owner. */
export async function waitForOpenGroups(system: RunningSystem): Promise<void> {
  const groups = new Set(
    system.servers.map(({ instance }) =>
      `groups/${instance.service}/${instance.region}`
    ),
  );
  await waitUntil(async () => {
    const reports = await Promise.all(system.entries.map(readStatus));
    return reports.every((report) =>
      report.groups.filter(({ key, value }) => groups.has(key) && value.open)
        .length === groups.size
    );
  }, { timeoutMs: OPEN_TIMEOUT_MS, what: "an owner for each group" });
}

/** Finds the entry that owns a group now. */
export async function findOwner(
  entries: readonly EntryProcess[],
  service: string,
  region: string,
): Promise<EntryProcess | undefined> {
  for (const entry of entries) {
    const { owned } = await readStatus(entry);
    const isOwner = owned.some((group) =>
      group.service === service && group.region === region && !group.closed
    );
    if (isOwner) return entry;
  }
  return undefined;
}

/** Servers of a group. */
export function findServers(
  system: RunningSystem,
  service: string,
  region: string,
): ServerProcess[] {
  return system.servers.filter(({ instance }) =>
    instance.service === service && instance.region === region
  );
}

/** Writes or withdraws an operator's drain. */
export async function submitDrain(
  entry: EntryProcess,
  instance: string,
  method: "PUT" | "DELETE" = "PUT",
): Promise<void> {
  const changeId = randomUUID();
  const path = `/v1/drains/${instance}`;
  const { status } = await callOperators(
    entry.operators,
    method === "PUT" ? path : `${path}?changeId=${changeId}&why=Test`,
    { method, json: method === "PUT" ? { changeId, why: "Test" } : undefined },
  );
  if (status !== 200) throw new Error(`The drain got status ${status}`);
}

/** One request of a steady load, or a call that failed without an answer. */
export interface LoadRecord extends RequestView {
  /** Time on this process's monotonic clock at which it was sent. */
  readonly sentMs: number;
  readonly entry: string;
  /** Error of a call that was cut off. */
  readonly error?: string;
}

/** Options of `startLoad`. */
export interface LoadOptions {
  readonly service: string;
  readonly path: string;
  /** Loopback address of the callers. */
  readonly from: string;
  /** Callers that each send one request at a time. */
  readonly callers: number;
  /** Pause of a caller between its requests. */
  readonly pauseMs?: number;
  /** Pause after an answer that is not `answered`. */
  readonly refusedPauseMs?: number;
  /** Headers of a request by its number. */
  readonly makeHeaders?: (sent: number) => Record<string, string>;
}

/** A steady load. */
export interface Load {
  readonly records: readonly LoadRecord[];
  /** Answered requests that were sent at or after a time. */
  countAnswered(sinceMs: number): number;
  /** Lets requests in progress end and returns all records. */
  stop(): Promise<readonly LoadRecord[]>;
}

/**
 * Starts callers that use the first entry of a look-up answer until its time
 * to live has passed, over connections that they keep open.
 */
export function startLoad(
  t: Teardown,
  entries: readonly EntryProcess[],
  options: LoadOptions,
): Load {
  const records: LoadRecord[] = [];
  let stopped = false;
  let sent = 0;

  async function runCaller(index: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, localAddress: options.from });
    const finder = createEntryFinder(entries, options, index);
    try {
      while (!stopped) {
        const entry = await finder();
        const number = sent++;
        const record = await sendRecorded(entry, { agent, options, number });
        records.push(record);
        await wait(
          record.outcome === "answered"
            ? options.pauseMs ?? 0
            : options.refusedPauseMs ?? 20,
        );
      }
    } finally {
      agent.destroy();
    }
  }

  const running = Promise.allSettled(
    Array.from({ length: options.callers }, (_, index) => runCaller(index)),
  );
  const stop = async () => {
    stopped = true;
    const failed = (await running).find(({ status }) => status === "rejected");
    if (failed?.status === "rejected") throw failed.reason;
    return records;
  };
  t.teardown(async () => void await stop().catch(() => {}));
  return {
    records,
    countAnswered: (sinceMs) =>
      records.filter(({ sentMs, outcome }) =>
        outcome === "answered" && sentMs >= sinceMs
      ).length,
    stop,
  };
}

/** Returns the first entry of the cached look-up answer. */
function createEntryFinder(
  entries: readonly EntryProcess[],
  options: LoadOptions,
  index: number,
): () => Promise<string> {
  let cached = { address: "", untilMs: 0 };
  return async () => {
    if (performance.now() < cached.untilMs) return cached.address;
    for (let attempt = 0; attempt < entries.length; attempt += 1) {
      const { callers } = entries[(index + attempt) % entries.length]!;
      // An entry that has left refuses the connection.
      const view = await lookUp(callers, options).catch(() => undefined);
      const address = view?.entries[0]?.address;
      if (view === undefined || address === undefined) continue;
      cached = { address, untilMs: performance.now() + view.ttlMs };
      return address;
    }
    throw new Error("No entry answers a look-up");
  };
}

interface SendOptions {
  readonly agent: Agent;
  readonly options: LoadOptions;
  readonly number: number;
}

async function sendRecorded(
  entry: string,
  { agent, options, number }: SendOptions,
): Promise<LoadRecord> {
  const sentMs = performance.now();
  const requestId = randomUUID();
  try {
    const response = await got(
      // Equal requests would wait for each other at the group owner.
      `http://${entry}/services/${options.service}${options.path}?n=${number}`,
      {
        agent: { http: agent },
        headers: {
          "dotterelmoor-request-id": requestId,
          ...options.makeHeaders?.(number),
        },
        throwHttpErrors: false,
        timeout: { request: REQUEST_TIMEOUT_MS },
        retry: { limit: 0 },
      },
    );
    const read = (name: string) => String(response.headers[name] ?? "");
    return {
      sentMs,
      entry,
      status: response.statusCode,
      outcome: read("dotterelmoor-outcome"),
      reason: read("dotterelmoor-reason"),
      server: read("dotterelmoor-server"),
      requestId,
      body: response.body,
    };
  } catch (error) {
    const cut = { status: 0, outcome: "cut", reason: "", server: "", body: "" };
    return { ...cut, sentMs, entry, requestId, error: String(error) };
  }
}

/** Requests that got no whole answer to themselves. */
export function findFailed(records: readonly LoadRecord[]): LoadRecord[] {
  return records.filter((record) =>
    record.outcome !== "answered" || record.status !== 200 ||
    JSON.parse(record.body).requestId !== record.requestId
  );
}

/** Counts records by outcome and reason, for a message. */
export function describeRecords(records: readonly LoadRecord[]): string {
  const counts = new Map<string, number>();
  for (const { outcome, reason, error } of records) {
    const name = [outcome, reason, error].filter(Boolean).join(" ");
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return JSON.stringify(Object.fromEntries(counts));
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
