import type { ExecutionContext } from "ava";
import test from "ava";
import { readCounters, setFaults, waitUntil } from "@dotterelmoor/testing.demo";
import type {
  RunningSystem,
  ServerProcess,
  SystemOptions,
} from "@dotterelmoor/testing.demo";
import type {
  ServerCounters,
  ServerFaults,
} from "@dotterelmoor/testing.server";
import {
  describeRecords,
  findFailed,
  findOwner,
  findServers,
  startLoad,
  startOpenSystem,
  submitDrain,
} from "./change_helpers.ts";
import type { Load } from "./change_helpers.ts";

const SERVICE = "availdesk";
const REGION = "southeast";
/** Time after which a draining server must get no new work. */
const DRAIN_LIMIT_MS = 3_000;
/** Time for which the load continues after the server began to drain. */
const OBSERVED_MS = 6_000;

interface LeavingServers {
  readonly system: RunningSystem;
  readonly servers: readonly ServerProcess[];
}

/** The only source that reports that a server is leaving. */
interface Source {
  /** Faults that keep the server's other signals from reporting it. */
  readonly faults: Partial<ServerFaults>;
  /** Reports that the servers are leaving, if the servers don't themselves. */
  readonly announce?: (leaving: LeavingServers) => Promise<void>;
  /** Makes a source report that the servers are in use again. */
  readonly reportInUse: (leaving: LeavingServers) => Promise<void>;
}

const SOURCES: Readonly<Record<string, Source>> = {
  "the instance list": {
    faults: { refuseWhenDraining: false, healthState: "ok" },
    announce: ({ system, servers }) =>
      system.publishInstances({ leaving: listIds(servers) }),
    reportInUse: ({ system }) => system.publishInstances(),
  },
  "the health endpoint": {
    faults: { refuseWhenDraining: false, healthState: null },
    reportInUse: ({ servers }) => setAllFaults(servers, { healthState: "ok" }),
  },
  "a refusal": {
    faults: { refuseWhenDraining: true, healthState: "ok" },
    reportInUse: ({ servers }) =>
      setAllFaults(servers, { refuseWhenDraining: false }),
  },
  "an operator's drain": {
    faults: { refuseWhenDraining: false, healthState: "ok" },
    announce: async ({ system, servers }) => {
      for (const { instance } of servers) {
        await submitDrain(system.entries.at(-1)!, instance.id);
      }
    },
    reportInUse: ({ system }) => system.publishInstances(),
  },
};

function listIds(servers: readonly ServerProcess[]): string[] {
  return servers.map(({ instance }) => instance.id);
}

async function setAllFaults(
  servers: readonly ServerProcess[],
  faults: Partial<ServerFaults>,
): Promise<void> {
  for (const { controlUrl } of servers) await setFaults(controlUrl, faults);
}

function readServer({ controlUrl }: ServerProcess): Promise<ServerCounters> {
  return readCounters<ServerCounters>(controlUrl);
}

async function startGroup(
  t: ExecutionContext,
  options: Partial<SystemOptions> = {},
): Promise<RunningSystem> {
  return await startOpenSystem(t, {
    example: "consortium",
    regions: [REGION],
    entriesPerRegion: 1,
    serversPerGroup: 3,
    teams: [SERVICE],
    // Long enough that each server always has requests in flight.
    serverFlags: ["--service-ms", "100"],
    ...options,
  });
}

function startCallers(t: ExecutionContext, system: RunningSystem): Load {
  return startLoad(t, system.entries, {
    service: SERVICE,
    path: "/availability",
    from: "127.1.0.5",
    callers: 5,
    pauseMs: 20,
  });
}

/** Waits until each server has run at least ten requests of the load. */
async function waitForRuns(servers: readonly ServerProcess[]): Promise<void> {
  await waitUntil(async () => {
    const counters = await Promise.all(servers.map(readServer));
    return counters.every(({ runs }) => runs >= 10);
  }, { timeoutMs: 10_000, what: "requests at every server" });
}

/** Waits until 20 requests that were sent at or after a time are answered. */
async function waitForAnswers(load: Load, sinceMs: number): Promise<void> {
  await waitUntil(() => load.countAnswered(sinceMs) >= 20, {
    timeoutMs: 15_000,
    what: "answers to later requests",
  });
}

async function assertDrained(
  t: ExecutionContext,
  servers: readonly ServerProcess[],
): Promise<void> {
  for (const server of servers) {
    const counters = await readServer(server);
    const lastMs = Math.max(0, ...counters.startedAfterDrainingMs);
    t.log(`${counters.server}: last request ${lastMs} ms after draining began`);
    t.true(
      lastMs <= DRAIN_LIMIT_MS,
      `A request started ${lastMs} ms after draining began`,
    );
    t.is(counters.cancelled, 0);
    t.is(counters.stoppedAtDeadline, 0);
    t.is(counters.inFlight, 0);
    t.is(counters.completed, counters.runs);
  }
}

async function assertAllAnswered(t: ExecutionContext, load: Load) {
  const records = await load.stop();
  const failed = findFailed(records);
  t.is(failed.length, 0, describeRecords(failed));
}

for (const [name, source] of Object.entries(SOURCES)) {
  // Guards against a leaving server that still gets requests because the other
  // sources are outdated or report it as in use.
  test.serial(`a server leaves when only ${name} reports it`, async (t) => {
    t.timeout(45_000);
    const system = await startGroup(t);
    const all = findServers(system, SERVICE, REGION);
    const leaving = { system, servers: all.slice(0, 1) };
    const load = startCallers(t, system);
    await waitForRuns(all);

    const drainingSinceMs = performance.now();
    await setAllFaults(leaving.servers, { draining: true, ...source.faults });
    await source.announce?.(leaving);
    await waitForAnswers(load, drainingSinceMs + DRAIN_LIMIT_MS / 2);
    const before = await readServer(leaving.servers[0]!);
    t.true(before.runs + before.refused >= 10);
    await source.reportInUse(leaving);
    await waitForAnswers(load, drainingSinceMs + OBSERVED_MS);

    await assertAllAnswered(t, load);
    await assertDrained(t, leaving.servers);
    // A refused request was still sent to the leaving server.
    const after = await readServer(leaving.servers[0]!);
    t.true(after.refused <= 3, `${after.refused} requests were refused`);
  });
}

// Guards against a server that stays unused after its drain was withdrawn.
test.serial("a withdrawn drain makes a server eligible again", async (t) => {
  t.timeout(45_000);
  const system = await startGroup(t, { serversPerGroup: 2 });
  const all = findServers(system, SERVICE, REGION);
  const [server] = all;
  const load = startCallers(t, system);
  await waitForRuns(all);
  await submitDrain(system.entries[0]!, server!.instance.id);
  await waitForAnswers(load, performance.now() + DRAIN_LIMIT_MS);
  const drained = await readServer(server!);
  t.is(drained.inFlight, 0);
  await submitDrain(system.entries[0]!, server!.instance.id, "DELETE");
  await waitUntil(async () => (await readServer(server!)).runs > drained.runs, {
    timeoutMs: 5_000,
    what: "requests after the drain was withdrawn",
  });
  await assertAllAnswered(t, load);
});

// Guards against failed requests when most servers of a group leave together.
test.serial("two servers of a group leave at once", async (t) => {
  t.timeout(45_000);
  const system = await startGroup(t);
  const all = findServers(system, SERVICE, REGION);
  const leaving = all.slice(0, 2);
  const load = startCallers(t, system);
  await waitForRuns(all);
  const drainingSinceMs = performance.now();
  await Promise.all(
    leaving.map((server, index) =>
      setFaults(server.controlUrl, {
        draining: true,
        refuseWhenDraining: index === 0,
        healthState: index === 0 ? "ok" : null,
      })
    ),
  );
  await waitForAnswers(load, drainingSinceMs + OBSERVED_MS);
  await assertAllAnswered(t, load);
  await assertDrained(t, leaving);
});

// Guards against failed requests while the load shifts to another region.
test.serial("the last server of a group leaves", async (t) => {
  t.timeout(45_000);
  const system = await startGroup(t, {
    regions: [REGION, "farnorth"],
    serversPerGroup: 1,
  });
  const [last] = findServers(system, SERVICE, REGION);
  const [other] = findServers(system, SERVICE, "farnorth");
  t.truthy(await findOwner(system.entries, SERVICE, "farnorth"));
  const load = startLoad(t, system.entries, {
    service: SERVICE,
    path: "/availability",
    from: "127.1.0.5",
    callers: 1,
    // Slow enough for the first step of the shift cap, which refuses nothing.
    pauseMs: 100,
  });
  await waitForRuns([last!]);
  const drainingSinceMs = performance.now();
  await setFaults(last!.controlUrl, { draining: true, healthState: "ok" });
  await waitForAnswers(load, drainingSinceMs + OBSERVED_MS);
  await assertAllAnswered(t, load);
  await assertDrained(t, [last!]);
  t.true((await readServer(last!)).refused <= 3);
  t.true((await readServer(other!)).runs >= 20);
});
