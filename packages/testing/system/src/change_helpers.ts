/**
 * Steady load and status reads for tests of planned changes.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { Agent } from "node:http";
import got from "got";
import {
  callOperatorApi,
  lookUp,
  startSystem,
  waitUntil,
} from "@dotterelmoor/testing.demo";
import type {
  EntryProcess,
  RequestResult,
  RunningSystem,
  ServerProcess,
  SystemOptions,
} from "@dotterelmoor/testing.demo";

/** Covers the time for which a new owner waits until older sessions expire. */
const OPEN_TIMEOUT_MS = 25_000;
const REQUEST_TIMEOUT_MS = 15_000;

/** Subset of ava's execution context that the helpers use. */
export interface Teardown {
  teardown(release: () => Promise<void>): void;
  log(...values: unknown[]): void;
}

/** State of a group as an entry reports it. */
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

/** Fields of an entry's status that tests read. */
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
  const { body } = await callOperatorApi<StatusReport>(
    entry.operators,
    "/v1/status",
  );
  return body;
}

/** Starts a system, waits for its groups and stops it at the end of the test. */
export async function startOpenSystem(
  t: Teardown,
  options: SystemOptions,
): Promise<RunningSystem> {
  const system = await startSystem(options);
  t.teardown(() => system.stop());
  await waitForOpenGroups(system);
  return system;
}

/** Waits until every entry sees each group that has servers as open. */
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

/** Finds the entry that currently owns a group and has not closed it. */
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

/** Returns the backend servers of a group. */
export function findServers(
  system: RunningSystem,
  service: string,
  region: string,
): ServerProcess[] {
  return system.servers.filter(({ instance }) =>
    instance.service === service && instance.region === region
  );
}

/** Sets or withdraws an operator's drain; throws unless the status is 200. */
export async function submitDrain(
  entry: EntryProcess,
  instance: string,
  method: "PUT" | "DELETE" = "PUT",
): Promise<void> {
  const changeId = randomUUID();
  const path = `/v1/drains/${instance}`;
  const { status } = await callOperatorApi(
    entry.operators,
    method === "PUT" ? path : `${path}?changeId=${changeId}&why=Test`,
    { method, json: method === "PUT" ? { changeId, why: "Test" } : undefined },
  );
  if (status !== 200) throw new Error(`Cannot change drain: status ${status}`);
}

/**
 * A request of a steady load. Its outcome is `cut` and its status 0 if no
 * complete response arrived.
 */
export interface LoadRecord extends RequestResult {
  /** Send time in milliseconds as returned by `performance.now()`. */
  readonly sentMs: number;
  /** `host:port` of the entry. */
  readonly entry: string;
  /** Error of a call that got no complete response. */
  readonly error?: string;
}

/** Options of `startLoad`. */
export interface LoadOptions {
  readonly service: string;
  readonly path: string;
  /** Loopback source address of the callers. */
  readonly from: string;
  /** Number of callers; each sends one request at a time. */
  readonly callers: number;
  /** Pause in milliseconds of a caller after an answered request. */
  readonly pauseMs?: number;
  /** Pause in milliseconds after any other outcome. */
  readonly refusedPauseMs?: number;
  /** Returns the extra headers of a request, given its sequence number. */
  readonly makeHeaders?: (sent: number) => Record<string, string>;
}

/** A running steady load. */
export interface Load {
  readonly records: readonly LoadRecord[];
  /** Counts answered requests that were sent at or after a time. */
  countAnswered(sinceMs: number): number;
  /** Stops sending, waits for requests in flight and returns all records. */
  stop(): Promise<readonly LoadRecord[]>;
}

/**
 * Starts callers with persistent connections. Each one sends its requests to
 * the first entry of its lookup result and repeats the lookup when the
 * result's time to live has expired.
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
    const findEntry = createEntryFinder(entries, options, index);
    try {
      while (!stopped) {
        const entry = await findEntry();
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

/** Creates a function that returns the first entry of a cached lookup. */
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
      // A stopped entry refuses the connection; the next one is asked.
      const lookup = await lookUp(callers, options).catch(() => undefined);
      const address = lookup?.entries[0]?.address;
      if (lookup === undefined || address === undefined) continue;
      cached = { address, untilMs: performance.now() + lookup.ttlMs };
      return address;
    }
    throw new Error("No entry answered the lookup");
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
      // Identical requests would wait for each other at the group owner.
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
    const readHeader = (name: string) => String(response.headers[name] ?? "");
    return {
      sentMs,
      entry,
      status: response.statusCode,
      outcome: readHeader("dotterelmoor-outcome"),
      reason: readHeader("dotterelmoor-reason"),
      server: readHeader("dotterelmoor-server"),
      requestId,
      body: response.body,
    };
  } catch (error) {
    const failed = {
      status: 0,
      outcome: "cut",
      reason: "",
      server: "",
      body: "",
    };
    return { ...failed, sentMs, entry, requestId, error: String(error) };
  }
}

/** Returns the requests that got no complete response of their own. */
export function findFailed(records: readonly LoadRecord[]): LoadRecord[] {
  return records.filter((record) =>
    record.outcome !== "answered" || record.status !== 200 ||
    JSON.parse(record.body).requestId !== record.requestId
  );
}

/** Formats the counts of records by outcome and reason for test output. */
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
