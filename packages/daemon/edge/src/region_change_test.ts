import { request as openRequest } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import test from "ava";
import type { ExecutionContext } from "ava";
import type { RouteRecord, ServerRecord } from "@dotterelmoor/core.catalog";
import {
  buildDocument,
  buildRoute,
  buildServer,
  callEdge,
  createMemoryStore,
} from "./edge_fixture.ts";
import type { CallerAnswer } from "./edge_fixture.ts";
import type { MemoryStore } from "./edge_fixture.ts";
import type { EdgeSettings } from "./mod.ts";
import { startBackends, startReadyEdge, waitUntil } from "./started_fixture.ts";

/** Id of the request under test. */
const ID = "q1";

/** Two servers in the old region, one in the new, one of another service. */
const SERVERS: Readonly<Record<string, Partial<ServerRecord>>> = {
  a1: {},
  a2: {},
  b1: { zone: "b-1" },
  lamp: { service: "lamp" },
};

/** How the first server that receives the request ends it. */
const ENDINGS = {
  refused: (_request: IncomingMessage, response: ServerResponse) =>
    response.writeHead(503, { "dotterelmoor-not-run": "true" }).end(),
  lost: (request: IncomingMessage) => request.socket.destroy(),
  failed: (_request: IncomingMessage, response: ServerResponse) =>
    response.writeHead(500).end(),
  overdue: () => {},
  // Long after a backup request would be sent to a second server.
  late: (_request: IncomingMessage, response: ServerResponse) =>
    setTimeout(() => response.end("late"), 2_500),
};

interface Scenario {
  /** How the first send ends; if undefined, all servers answer. */
  readonly ending?: keyof typeof ENDINGS;
  /** The route when the request arrives. */
  readonly before?: Partial<RouteRecord>;
  /** The route in the next configuration; undefined if it is removed. */
  readonly after: Partial<RouteRecord> | undefined;
}

interface Installation {
  readonly settings: EdgeSettings;
  /** Names of the servers that received the request, in order. */
  readonly sends: string[];
  /** Writes the next configuration; resolves once the edge applies it. */
  change(): Promise<void>;
}

function buildBoundRoute(changes: Partial<RouteRecord> = {}): RouteRecord {
  return buildRoute({
    timeoutMs: 8_000,
    targetLatencyMs: 600,
    maxAttempts: 3,
    allowedRegions: ["a"],
    ...changes,
  });
}

/** Writes a configuration with an additional route, by which a test detects
 * that it is in force. */
function putDocument(
  store: MemoryStore,
  version: number,
  route: RouteRecord | undefined,
): void {
  const probe = buildRoute({
    name: "probe",
    prefix: `/v${version}/`,
    targets: [{ service: "lamp", weight: 1 }],
  });
  const routes = route === undefined ? [probe] : [route, probe];
  const document = buildDocument(version, routes);
  const [service] = document.services;
  const services = [service!, { ...service!, name: "lamp" }];
  store.put("orders", "config", {
    type: "document",
    document: { ...document, services },
  });
}

function waitForVersion(
  t: ExecutionContext,
  { callers }: EdgeSettings,
  version: number,
): Promise<void> {
  const probe = { path: `/v${version}/`, id: "probe" };
  return waitUntil(t, async () => {
    const { status } = await callEdge(callers, probe);
    return status !== 404;
  });
}

async function startInstallation(
  t: ExecutionContext,
  { ending, before, after }: Scenario,
): Promise<Installation> {
  const store = createMemoryStore();
  const sends: string[] = [];
  const handle = (name: string) =>
  (
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    const id = request.headers["dotterelmoor-request-id"];
    const isFirst = id === ID && sends.push(name) === 1;
    if (ending === undefined || !isFirst) return response.end(`by ${name}`);
    change().then(
      () => ENDINGS[ending](request, response),
      (error) => t.fail(String(error)),
    );
  };
  const backends = await startBackends(t, Object.keys(SERVERS).map(handle));
  Object.entries(SERVERS).forEach(([name, changes], index) => {
    const { address } = backends[index]!;
    const record = buildServer(name, address, { slots: 200, ...changes });
    store.put("servers", name, { type: "server", record });
  });
  putDocument(store, 1, buildBoundRoute(before));
  const { settings } = await startReadyEdge(t, store);
  const change = async () => {
    putDocument(store, 2, after && buildBoundRoute(after));
    await waitForVersion(t, settings, 2);
  };
  return { settings, sends, change };
}

/** Sends a request; the configuration changes during its first send. */
async function callDuringChange(t: ExecutionContext, scenario: Scenario) {
  const { settings, sends } = await startInstallation(t, scenario);
  const headers = { "dotterelmoor-deadline-ms": "8000" };
  const { status } = await callEdge(settings.callers, { id: ID, headers });
  return { status, sends };
}

const MOVED = { allowedRegions: ["b"] };

for (const ending of ["refused", "lost", "failed", "overdue"] as const) {
  test(`guards against a second send to a region that the route no longer allows, first send ${ending}`, async (t) => {
    const { status, sends } = await callDuringChange(t, {
      ending,
      after: MOVED,
    });
    t.is(status, 200);
    t.regex(sends[0]!, /^a/);
    t.deepEqual(sends.slice(1), ["b1"]);
  });

  test(`guards against a second send after the route was removed, first send ${ending}`, async (t) => {
    const { status, sends } = await callDuringChange(t, {
      ending: ending === "overdue" ? "late" : ending,
      after: undefined,
    });
    const statuses = { refused: 503, lost: 502, failed: 500, overdue: 200 };
    t.is(status, statuses[ending]);
    t.is(sends.length, 1);
  });
}

test("guards against a second send to a service that the route no longer targets", async (t) => {
  const { status, sends } = await callDuringChange(t, {
    ending: "refused",
    after: { targets: [{ service: "lamp", weight: 1 }] },
  });
  t.is(status, 200);
  t.deepEqual(sends.slice(1), ["lamp"]);
});

// The service of the first send is still a target, but with a far smaller
// weight.
test("guards against a traffic split that moves a request between sends", async (t) => {
  const { status, sends } = await callDuringChange(t, {
    ending: "refused",
    after: {
      targets: [{ service: "lamp", weight: 99 }, {
        service: "desk",
        weight: 1,
      }],
    },
  });
  t.is(status, 200);
  t.regex(sends[1]!, /^a/);
});

for (const ending of ["lost", "failed", "late"] as const) {
  const statuses = { lost: 502, failed: 500, late: 200 };

  test(`guards against a second run once the route is non-repeatable, first send ${ending}`, async (t) => {
    const after = { repeatable: false };
    const { status, sends } = await callDuringChange(t, { ending, after });
    t.is(status, statuses[ending]);
    t.is(sends.length, 1);
  });

  test(`guards against a second run if the route was non-repeatable at arrival, first send ${ending}`, async (t) => {
    const { status, sends } = await callDuringChange(t, {
      ending,
      before: { repeatable: false },
      after: { repeatable: true },
    });
    t.is(status, statuses[ending]);
    t.is(sends.length, 1);
  });
}

test("guards against more attempts than the changed route allows", async (t) => {
  const { status, sends } = await callDuringChange(t, {
    ending: "refused",
    after: { maxAttempts: 1 },
  });
  t.is(status, 503);
  t.is(sends.length, 1);
});

/** Sends a request; the configuration changes before the end of its body. */
async function callWithSlowBody(t: ExecutionContext, scenario: Scenario) {
  const { settings, sends, change } = await startInstallation(t, scenario);
  const call = openRequest({
    ...settings.callers,
    path: "/a/x",
    method: "POST",
    agent: false,
    headers: { host: "desk.example", "dotterelmoor-request-id": ID },
  });
  const answered = new Promise<number>((resolve, reject) => {
    call.once("error", reject);
    call.once("response", (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
  });
  call.write("first part ");
  // Once a later request is answered, the edge has read the first part.
  await callEdge(settings.callers, { path: "/v1/", id: "probe" });
  await change();
  call.end("second part");
  return { status: await answered, sends };
}

test("guards against a first send by a configuration that was replaced during a slow body", async (t) => {
  const moved = await callWithSlowBody(t, { after: MOVED });
  t.deepEqual(moved, { status: 200, sends: ["b1"] });
  const gone = await callWithSlowBody(t, { after: undefined });
  t.deepEqual(gone, { status: 503, sends: [] });
});

// The edge opens 64 connections to a server; further sends wait for one.
test("guards against a send to a former region that waited for a connection during the change", async (t) => {
  const store = createMemoryStore();
  const held: ServerResponse[] = [];
  let isReleased = false;
  const [old, moved] = await startBackends(t, [
    (_request, response) =>
      isReleased ? response.end("late") : held.push(response),
    undefined,
  ]);
  const putServer = (id: string, address: string, zone: string) => {
    const record = buildServer(id, address, { zone, slots: 200 });
    store.put("servers", id, { type: "server", record });
  };
  putServer("a1", old!.address, "a-1");
  putServer("b1", moved!.address, "b-1");
  putDocument(store, 1, buildBoundRoute({ repeatable: false }));
  const { settings } = await startReadyEdge(t, store);
  const headers = { "dotterelmoor-deadline-ms": "8000" };
  const call = (id: string) => callEdge(settings.callers, { id, headers });
  const first: Promise<CallerAnswer>[] = [];
  // A few at a time, as a connection that opens too late counts as refused.
  while (first.length < 64) {
    for (let more = 0; more < 4; more++) first.push(call(`f${first.length}`));
    await waitUntil(t, () => Promise.resolve(held.length === first.length));
  }
  const waiting = call(ID);
  await callEdge(settings.callers, { path: "/none/", id: "probe" });
  putDocument(store, 2, buildBoundRoute({ repeatable: false, ...MOVED }));
  await waitForVersion(t, settings, 2);
  isReleased = true;
  held.forEach((response) => response.end("late"));
  t.is((await waiting).status, 200);
  await Promise.all(first);
  t.false(old!.requests.includes(ID));
  t.true(moved!.requests.includes(ID));
});
