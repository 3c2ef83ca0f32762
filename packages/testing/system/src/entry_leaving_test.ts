import type { ExecutionContext } from "ava";
import test from "ava";
import {
  lookUp,
  readCounters,
  sendRequest,
  waitUntil,
} from "@dotterelmoor/testing.demo";
import type {
  EntryProcess,
  RequestResult,
  RunningSystem,
} from "@dotterelmoor/testing.demo";
import type { ServerCounters } from "@dotterelmoor/testing.server";
import {
  describeRecords,
  findFailed,
  findOwner,
  findServers,
  readStatus,
  startLoad,
  startOpenSystem,
} from "./change_helpers.ts";
import type { Load } from "./change_helpers.ts";

const SERVICE = "availdesk";
const REGION = "southeast";
const FROM = "127.1.0.5";
const LOOKUP_TTL_MS = 2_000;
/** Longest time from the termination signal to the exit. */
const EXIT_LIMIT_MS = 20_000;
/** Time within which other entries learn that an entry is leaving. */
const PROPAGATION_LIMIT_MS = 1_000;

async function startRegion(
  t: ExecutionContext,
  entries: number,
  serviceMs = 100,
): Promise<RunningSystem> {
  return await startOpenSystem(t, {
    example: "consortium",
    regions: [REGION],
    entriesPerRegion: entries,
    serversPerGroup: 2,
    teams: [SERVICE],
    serverFlags: ["--service-ms", String(serviceMs)],
    lookupTtlMs: LOOKUP_TTL_MS,
  });
}

function startCallers(
  t: ExecutionContext,
  system: RunningSystem,
): Load {
  return startLoad(t, system.entries, {
    service: SERVICE,
    path: "/availability",
    from: FROM,
    callers: 4,
    pauseMs: 20,
  });
}

/** Checks that lookups at the other entries soon omit the leaving entries. */
async function assertLookupsOmit(
  t: ExecutionContext,
  leaving: readonly EntryProcess[],
  others: readonly EntryProcess[],
): Promise<void> {
  const addresses = leaving.map(({ callers }) => callers);
  for (const other of others) {
    const tookMs = await waitUntil(async () => {
      const lookup = await lookUp(other.callers, {
        service: SERVICE,
        from: FROM,
      });
      return lookup.entries.length > 0 &&
        lookup.entries.every(({ address }) => !addresses.includes(address));
    }, {
      timeoutMs: PROPAGATION_LIMIT_MS,
      what: `lookups at ${other.instance} without the leaving entry`,
    });
    t.log(
      `${other.instance} omits leaving entries after ${Math.round(tookMs)} ms`,
    );
  }
}

async function assertExits(
  t: ExecutionContext,
  entry: EntryProcess,
  startedMs: number,
): Promise<void> {
  const code = await entry.process.exited;
  const tookMs = performance.now() - startedMs;
  t.log(`${entry.instance} exited after ${Math.round(tookMs)} ms`);
  t.is(code, 0, entry.process.stderrLines.slice(-5).join("\n"));
  t.true(tookMs <= EXIT_LIMIT_MS, `Exited after ${tookMs} ms`);
  // Callers use a cached lookup for its time to live, so an entry that exits
  // earlier would fail their requests.
  t.true(tookMs >= LOOKUP_TTL_MS, `Exited after only ${tookMs} ms`);
}

async function assertNoneFailed(
  t: ExecutionContext,
  system: RunningSystem,
  load: Load,
): Promise<void> {
  const records = await load.stop();
  const failed = findFailed(records);
  t.is(failed.length, 0, describeRecords(failed));
  for (const { controlUrl } of findServers(system, SERVICE, REGION)) {
    const counters = await readCounters<ServerCounters>(controlUrl);
    t.is(counters.cancelled, 0);
    t.is(counters.stoppedAtDeadline, 0);
    t.is(counters.overSlots, 0);
  }
}

async function waitForOwner(
  entries: readonly EntryProcess[],
): Promise<EntryProcess> {
  let owner: EntryProcess | undefined;
  await waitUntil(async () => {
    owner = await findOwner(entries, SERVICE, REGION);
    return owner !== undefined;
  }, { timeoutMs: 15_000, what: "an owner among the other entries" });
  return owner!;
}

// Guards against requests that fail during a planned stop of the group owner.
test.serial("an owner leaves without a failed request", async (t) => {
  t.timeout(45_000);
  const system = await startRegion(t, 3);
  const owner = (await findOwner(system.entries, SERVICE, REGION))!;
  const others = system.entries.filter((entry) => entry !== owner);
  const load = startCallers(t, system);
  await waitUntil(() => load.countAnswered(0) >= 50, {
    timeoutMs: 10_000,
    what: "a steady load",
  });

  const startedMs = performance.now();
  owner.process.terminate();
  await assertLookupsOmit(t, [owner], others);
  // The load may no longer use the owner. The owner must serve as long as a
  // cached lookup may name it.
  const atLeavingOwner = await sendRequest(owner.callers, {
    service: SERVICE,
    path: "/availability",
    from: FROM,
  });
  t.is(atLeavingOwner.outcome, "answered", atLeavingOwner.reason);
  const next = await waitForOwner(others);
  t.log(`${next.instance} owns the group`);
  await assertExits(t, owner, startedMs);
  await waitUntil(() => load.countAnswered(performance.now() - 1_000) >= 10, {
    timeoutMs: 5_000,
    what: "load after the exit",
  });
  await assertNoneFailed(t, system, load);
});

// Guards against an entry that hands over its groups to one that also leaves.
test.serial("two entries leave at once", async (t) => {
  t.timeout(45_000);
  const system = await startRegion(t, 4);
  const owner = (await findOwner(system.entries, SERVICE, REGION))!;
  const leaving = [
    owner,
    system.entries.find((entry) => entry !== owner)!,
  ];
  const others = system.entries.filter((entry) => !leaving.includes(entry));
  const load = startCallers(t, system);
  await waitUntil(() => load.countAnswered(0) >= 50, {
    timeoutMs: 10_000,
    what: "a steady load",
  });
  const startedMs = performance.now();
  for (const entry of leaving) entry.process.terminate();
  await assertLookupsOmit(t, leaving, others);
  await waitForOwner(others);
  await Promise.all(leaving.map((entry) => assertExits(t, entry, startedMs)));
  await waitUntil(() => load.countAnswered(performance.now() - 1_000) >= 10, {
    timeoutMs: 5_000,
    what: "load after the exits",
  });
  await assertNoneFailed(t, system, load);
});

// Guards against an owner that waits for the store before it exits, and against
// a group that stays without an owner after the outage.
test.serial("an owner leaves while the store is down", async (t) => {
  t.timeout(45_000);
  const system = await startRegion(t, 2, 500);
  const owner = (await findOwner(system.entries, SERVICE, REGION))!;
  await system.setPlatformFaults({ down: true });
  await waitUntil(async () => {
    const { configuration } = await readStatus(owner);
    return (configuration.storeSilentMs ?? 0) > 1_000;
  }, { timeoutMs: 20_000, what: "an entry that detects the outage" });

  const other = system.entries.find((entry) => entry !== owner)!;
  const inFlight = [owner, other].map((entry): Promise<RequestResult> =>
    sendRequest(entry.callers, {
      service: SERVICE,
      path: `/availability?by=${entry.instance}`,
      from: FROM,
    })
  );
  await waitUntil(async () => {
    const counters = await Promise.all(
      findServers(system, SERVICE, REGION).map(({ controlUrl }) =>
        readCounters<ServerCounters>(controlUrl)
      ),
    );
    return counters.reduce((sum, server) => sum + server.inFlight, 0) === 2;
  }, { timeoutMs: 5_000, what: "two requests in flight" });

  const startedMs = performance.now();
  owner.process.terminate();
  for (const result of await Promise.all(inFlight)) {
    t.is(result.outcome, "answered");
    t.is(JSON.parse(result.body).requestId, result.requestId);
  }
  await assertLookupsOmit(t, [owner], [other]);
  await assertExits(t, owner, startedMs);
  await system.setPlatformFaults({ down: false });
  await waitForOwner([other]);
  const result = await sendRequest(other.callers, {
    service: SERVICE,
    path: "/availability",
    from: FROM,
  });
  t.is(result.outcome, "answered");
});
