import test from "ava";
import type { ExecutionContext } from "ava";
import {
  callInTurn,
  CRASHING_PATH,
  HARMLESS_HEADER,
  startCrashingServers,
} from "./crashing_servers_fixture.ts";
import {
  buildDocument,
  buildRoute,
  callEdge,
  createMemoryStore,
} from "./edge_fixture.ts";
import type { MemoryStore } from "./edge_fixture.ts";
import type { EdgeSettings } from "./ports.ts";
import { startReadyEdge, waitUntil } from "./started_fixture.ts";

/** Time in milliseconds after a request's third crash within which all
 * entries must know of it, and the number of sends allowed after that: the
 * platform's limits. */
const PROPAGATION_MS = 4_000;
const ALLOWED_SENDS = 3;

/** Calls of the crashing request: three per second, for well over
 * `PROPAGATION_MS` after the third crash. */
const CRASHING_CALLS = { path: CRASHING_PATH, periodMs: 330, forMs: 9_000 };

const ZONES = ["a-1", "b-1"];

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function putRoute(store: MemoryStore, repeatable: boolean): void {
  const document = buildDocument(1, [buildRoute({ repeatable })]);
  store.put("orders", "config", { type: "document", document });
}

/** Starts an entry per zone; the first is the seed of the others. */
async function startEdges(
  t: ExecutionContext,
  store: MemoryStore,
  zones: readonly string[],
) {
  const edges: Awaited<ReturnType<typeof startReadyEdge>>[] = [];
  for (const [index, zone] of zones.entries()) {
    const first = edges[0]?.settings.peers.port;
    edges.push(
      await startReadyEdge(t, store, {
        instance: `n${index}`,
        zone,
        region: zone[0]!,
        seeds: first === undefined ? [] : [`127.0.0.1:${first}`],
      }),
    );
  }
  return edges;
}

const CASES = [
  { name: "repeatable, one entry", repeatable: true, zones: ["a-1"] },
  { name: "non-repeatable, one entry", repeatable: false, zones: ["a-1"] },
  {
    name: "repeatable, entries in two regions",
    repeatable: true,
    zones: ZONES,
  },
  {
    name: "non-repeatable, three entries",
    repeatable: false,
    zones: ["a-1", ...ZONES],
  },
];

// Each retry of the caller has another request id, and may reach any entry.
for (const { name, repeatable, zones } of CASES) {
  test(`guards against a request that crashes one server after another, ${name}`, async (t) => {
    const store = createMemoryStore();
    putRoute(store, repeatable);
    const fleet = await startCrashingServers(t, store, { count: 8, zones });
    const edges = await startEdges(t, store, zones);
    const listeners = edges.map(({ settings }) => settings.callers);
    const [crashing, others] = await Promise.all([
      callInTurn({ ...CRASHING_CALLS, edges: listeners, name: "crash" }),
      callInTurn({
        edges: listeners,
        path: "/a/x",
        periodMs: 100,
        forMs: CRASHING_CALLS.forMs,
        name: "other",
      }),
    ]);
    const late = fleet.countLateSends(PROPAGATION_MS);
    t.log({
      ends: fleet.crashesAtMs.length,
      sends: fleet.sendsAtMs.length,
      late,
    });
    t.true(fleet.crashesAtMs.length >= 3);
    t.true(late <= ALLOWED_SENDS, `${late} sends`);
    // The last call is refused as not run.
    t.is(crashing.at(-1), 503);
    const answered = others.filter((status) => status === 200).length;
    t.log({ answered, of: others.length });
  });
}

/** Starts servers and entries, and calls until the request is refused. */
async function startQuarantined(
  t: ExecutionContext,
  store: MemoryStore,
  zones: readonly string[],
) {
  putRoute(store, false);
  const fleet = await startCrashingServers(t, store, { count: 8, zones });
  const edges = await startEdges(t, store, zones);
  const listeners = edges.map(({ settings }) => settings.callers);
  await callInTurn({
    path: CRASHING_PATH,
    edges: listeners,
    periodMs: 200,
    forMs: 3_000,
    name: "crash",
  });
  const refusals = await Promise.all(
    listeners.map((edge) => callEdge(edge, { path: CRASHING_PATH })),
  );
  for (const { status, body, headers } of refusals) {
    t.is(status, 503);
    t.is(body, "quarantined\n");
    t.true(Number(headers["retry-after"]) > 60);
  }
  return { fleet, edges, listeners };
}

// Entries have no disk and may all lose power at once, so the crash notes must
// be in the store.
test("guards against sending a crashing request again after all entries restarted", async (t) => {
  const store = createMemoryStore();
  const { fleet, edges } = await startQuarantined(t, store, ZONES);
  const sends = fleet.sendsAtMs.length;
  await Promise.all(edges.map(({ leave }) => leave()));
  const restarted = await startEdges(t, store, ZONES);
  const statuses = await callInTurn({
    path: CRASHING_PATH,
    edges: restarted.map(({ settings }) => settings.callers),
    periodMs: 100,
    forMs: 2_000,
    name: "later",
  });
  t.deepEqual([...new Set(statuses)], [503]);
  t.is(fleet.sendsAtMs.length, sends);
});

// The path and the body are those of the crashing request; the caller differs.
test("guards against quarantining another caller's requests together with a crashing one", async (t) => {
  const store = createMemoryStore();
  const { listeners } = await startQuarantined(t, store, ["a-1"]);
  const { status } = await callEdge(listeners[0]!, {
    path: CRASHING_PATH,
    headers: { [HARMLESS_HEADER]: "1" },
    localAddress: "127.0.0.2",
  });
  t.is(status, 200);
});

// All entries together try the request once on a new version. If the server
// survives, the request is sent to that version only.
test("guards against a quarantine that outlasts a fix, and against repeated trials that crash servers", async (t) => {
  const store = createMemoryStore();
  const { fleet, listeners } = await startQuarantined(t, store, ZONES);
  const call = (name: string) =>
    callInTurn({
      path: CRASHING_PATH,
      edges: listeners,
      periodMs: 50,
      forMs: 2_500,
      name,
    });
  fleet.sentTo.length = 0;
  await fleet.release({ software: "v2", count: 2, isCured: false });
  await call("v2");
  t.deepEqual(fleet.sentTo, ["v2"]);
  fleet.sentTo.length = 0;
  await fleet.release({ software: "v3", count: 2, isCured: true });
  const statuses = await call("v3");
  t.is(statuses.at(-1), 200);
  t.deepEqual([...new Set(fleet.sentTo)], ["v3"]);
});

test("guards against a quarantine that an operator cannot lift", async (t) => {
  const store = createMemoryStore();
  const { fleet, listeners } = await startQuarantined(t, store, ZONES);
  const sends = fleet.sendsAtMs.length;
  for (const key of store.listKeys("crashes")) {
    store.drop("crashes", key, { type: "crash_note_removed", key });
  }
  await waitUntil(t, async () => {
    await callInTurn({
      path: CRASHING_PATH,
      edges: listeners,
      periodMs: 100,
      forMs: 200,
      name: "lifted",
    });
    return fleet.sendsAtMs.length > sends;
  });
});

/** Sends the crashing request to one entry repeatedly. */
function callCrashing(
  { settings }: { readonly settings: EdgeSettings },
  name: string,
): Promise<number[]> {
  return callInTurn({
    path: CRASHING_PATH,
    edges: [settings.callers],
    periodMs: 200,
    forMs: 2_000,
    name,
  });
}

/** Starts two entries. The first one quarantines the request by its own
 * observations while the store is down, for all clients or for the client
 * `downClient`. Returns the number of sends until then. */
async function startWithoutStore(t: ExecutionContext, downClient?: string) {
  const store = createMemoryStore();
  putRoute(store, false);
  const fleet = await startCrashingServers(t, store, {
    count: 8,
    zones: ZONES,
  });
  const [first, second] = await startEdges(t, store, ZONES);
  store.setDown(true, downClient);
  const statuses = await callCrashing(first!, "away");
  t.is(statuses.at(-1), 503);
  return { store, fleet, second: second!, sends: fleet.sendsAtMs.length };
}

// An entry applies the crashes that it observes at once, and the others once
// they are written to the store.
test("guards against losing crash notes while the store is down", async (t) => {
  const { store, fleet, second, sends } = await startWithoutStore(t);
  store.setDown(false);
  await wait(PROPAGATION_MS);
  t.is(store.listKeys("crashes").length, sends);
  const statuses = await callCrashing(second, "back");
  t.deepEqual([...new Set(statuses)], [503]);
  t.is(fleet.sendsAtMs.length, sends);
});

// The store may refuse some entries and serve the others, so crash notes must be
// written through another entry.
test("guards against losing the crash notes of an entry that the store refuses", async (t) => {
  const { store, fleet, second, sends } = await startWithoutStore(t, "n0");
  await wait(PROPAGATION_MS);
  t.is(store.listKeys("crashes").length, sends);
  const statuses = await callCrashing(second, "served");
  t.deepEqual([...new Set(statuses)], [503]);
  t.is(fleet.sendsAtMs.length, sends);
});
