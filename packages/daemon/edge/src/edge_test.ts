import { connect } from "node:net";
import test from "ava";
import {
  buildDocument,
  buildPlatform,
  buildRoute,
  buildSettings,
  callEdge,
  createMemoryStore,
  TEST_BOUNDS,
} from "./edge_fixture.ts";
import type { CallerAnswer } from "./edge_fixture.ts";
import type { SavedState } from "@dotterelmoor/network.peering";
import { startEdge } from "./mod.ts";
import {
  putRouteAndServers,
  startBackends,
  startReadyEdge,
  waitUntil,
} from "./started_fixture.ts";

test("guards against a request that is modified, or that gets the answer to another", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putRouteAndServers(store, [backend!]);
  const { settings } = await startReadyEdge(t, store);
  const answer = await callEdge(settings.callers, {
    id: "q7",
    path: "/a/b?c=%2F",
    method: "POST",
    body: "text",
  });
  t.is(answer.status, 200);
  t.is(answer.body, "answer to q7");
  const [headers] = backend!.headers;
  t.is(headers?.host, "desk.example");
  t.is(headers?.["dotterelmoor-target"], "s0");
  t.true(Number(headers?.["dotterelmoor-deadline-ms"]) <= 1_000);
});

test("guards against forwarding requests without a route, or beyond the size limits", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putRouteAndServers(store, [backend!]);
  const { settings } = await startReadyEdge(t, store);
  t.is((await callEdge(settings.callers, { path: "/b/" })).status, 404);
  const large = await callEdge(settings.callers, {
    headers: { filler: "x".repeat(9_000) },
  });
  t.is(large.status, 431);
  const body = await callEdge(settings.callers, {
    method: "POST",
    body: "x".repeat(70_000),
  });
  t.is(body.status, 413);
  t.deepEqual(backend!.requests, []);
});

test("guards against answering a server's refusal when another server could serve the request", async (t) => {
  const store = createMemoryStore();
  const [shedding, serving] = await startBackends(t, [
    (_request, response) => {
      response.writeHead(503, { "dotterelmoor-not-run": "true" }).end();
    },
    undefined,
  ]);
  const route = buildRoute({ repeatable: false });
  putRouteAndServers(store, [shedding!, serving!], route);
  const { settings } = await startReadyEdge(t, store);
  for (let index = 0; index < 8; index++) {
    const answer = await callEdge(settings.callers, {
      id: `q${index}`,
      headers: { "dotterelmoor-object": String(index) },
    });
    t.is(answer.status, 200);
  }
  t.true(shedding!.requests.length > 0);
});

// The servers close the connection, so the request may have been run.
test("guards against a non-repeatable request that is sent twice or reported as not run", async (t) => {
  const store = createMemoryStore();
  const cut = (request: { readonly socket: { destroy(): void } }) =>
    request.socket.destroy();
  const backends = await startBackends(t, [cut, cut]);
  putRouteAndServers(store, backends, buildRoute({ repeatable: false }));
  const { settings } = await startReadyEdge(t, store);
  const answer = await callEdge(settings.callers, { id: "q1" });
  t.is(answer.status, 502);
  const requests = backends.flatMap((backend) => backend.requests);
  t.deepEqual(requests, ["q1"]);
});

// One server never answers.
test("guards against waiting for a lost answer to a repeatable request", async (t) => {
  const store = createMemoryStore();
  const silent = () => {};
  const backends = await startBackends(t, [silent, undefined]);
  putRouteAndServers(store, backends, buildRoute({ timeoutMs: 5_000 }));
  const { settings } = await startReadyEdge(t, store);
  for (let index = 0; index < 6; index++) {
    const answer = await callEdge(settings.callers, {
      id: `q${index}`,
      headers: {
        "dotterelmoor-object": String(index),
        "dotterelmoor-deadline-ms": "4000",
      },
    });
    t.is(answer.status, 200);
  }
  t.true(backends[0]!.requests.length > 0);
});

test("guards against a request that is held beyond its route's timeout", async (t) => {
  const store = createMemoryStore();
  const backends = await startBackends(t, [() => {}]);
  putRouteAndServers(store, backends, buildRoute({ timeoutMs: 300 }));
  const { settings } = await startReadyEdge(t, store);
  const startedAtMs = performance.now();
  const answer = await callEdge(settings.callers);
  t.is(answer.status, 504);
  t.true(performance.now() - startedAtMs < 800);
});

test("guards against servers that go on working for a caller that disconnected", async (t) => {
  const store = createMemoryStore();
  let closed = 0;
  const [backend] = await startBackends(t, [(request) => {
    request.socket.once("close", () => closed += 1);
  }]);
  putRouteAndServers(store, [backend!]);
  const { settings } = await startReadyEdge(t, store);
  const controller = new AbortController();
  const call = callEdge(settings.callers, { signal: controller.signal });
  await waitUntil(t, () => Promise.resolve(backend!.requests.length === 1));
  controller.abort();
  await t.throwsAsync(call);
  await waitUntil(t, () => Promise.resolve(closed === 1));
});

// One entry of a region reads the store; the others get changes from it.
test("guards against an entry that misses changes which another one reads", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putRouteAndServers(store, [backend!]);
  const first = await startReadyEdge(t, store, { instance: "n1" });
  const seeds = [`127.0.0.1:${first.settings.peers.port}`];
  const second = await startReadyEdge(t, store, { instance: "n2", seeds });
  const document = buildDocument(5, [buildRoute({ prefix: "/new/" })]);
  store.put("orders", "config", { type: "document", document });
  for (const { settings } of [first, second]) {
    await waitUntil(
      t,
      async () =>
        (await callEdge(settings.callers, { path: "/new/x" })).status === 200,
    );
  }
});

// Calls to the store are billed, so one entry reads for its region.
test("guards against calls to the store by every entry", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putRouteAndServers(store, [backend!]);
  const first = await startReadyEdge(t, store, { instance: "n1" });
  const seeds = [`127.0.0.1:${first.settings.peers.port}`];
  await startReadyEdge(t, store, { instance: "n2", seeds });
  // One entry reads for both once the other makes no call for 1.7 s, two of the
  // intervals between reads.
  await waitUntil(t, async () => {
    const before = [store.countCalls("n1"), store.countCalls("n2")];
    await new Promise((resolve) => setTimeout(resolve, 1_700));
    const after = [store.countCalls("n1"), store.countCalls("n2")];
    return after.filter((count, index) => count > before[index]!).length === 1;
  });
});

// The store refuses one entry after the other.
test("guards against an entry that misses a change because the store refuses it", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putRouteAndServers(store, [backend!]);
  const entries = [await startReadyEdge(t, store, { instance: "n1" })];
  const seeds = [`127.0.0.1:${entries[0]!.settings.peers.port}`];
  entries.push(await startReadyEdge(t, store, { instance: "n2", seeds }));
  for (const [index, name] of ["n1", "n2"].entries()) {
    store.setDown(true, name);
    const prefix = `/new${index}/`;
    const document = buildDocument(5 + index, [buildRoute({ prefix })]);
    store.put("orders", "config", { type: "document", document });
    for (const { settings } of entries) {
      await waitUntil(
        t,
        async () =>
          (await callEdge(settings.callers, { path: `${prefix}x` })).status ===
            200,
      );
    }
    store.setDown(false, name);
  }
});

test("guards against refused requests during an outage of the store", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putRouteAndServers(store, [backend!]);
  const { settings, isReady } = await startReadyEdge(t, store);
  store.setDown(true);
  const endAtMs = performance.now() + 2_500;
  while (performance.now() < endAtMs) {
    t.is((await callEdge(settings.callers)).status, 200);
    t.true(await isReady());
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
});

// The readiness port is taken, so the start fails after other listeners opened.
test("guards against listeners that stay open after a failed start", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putRouteAndServers(store, [backend!]);
  const first = await startReadyEdge(t, store);
  const settings = await buildSettings("n2", {
    readiness: first.settings.readiness,
  });
  const platform = buildPlatform(store.createClient("n2"));
  await t.throwsAsync(startEdge(settings, platform), { code: "EADDRINUSE" });
  await t.throwsAsync(callEdge(settings.callers), { code: "ECONNREFUSED" });
});

// Entries save object assignments and run times to the store, and restore them
// when all of them restart.
test("guards against losing object assignments and run times when all entries restart", async (t) => {
  const store = createMemoryStore();
  const backends = await startBackends(t, [undefined, undefined, undefined]);
  // High enough that a pause of this process doesn't make the server look slow.
  const route = buildRoute({ targetLatencyMs: 2_000, timeoutMs: 5_000 });
  putRouteAndServers(store, backends, route);
  const client = store.createClient("n0");
  const all = { warmMs: 400, coldMs: 1_200, meanMs: 500 };
  // Without an assignment, this object goes to s1.
  const key = "desk\nr1 17";
  await client.writeSavedState({
    plans: { desk: { all, routes: { r1: all } } },
    objects: { s0: [key] },
  });
  const first = await startReadyEdge(t, store, { instance: "n1" });
  const headers = { "dotterelmoor-object": "17" };
  const { host, port } = first.settings.peers;
  const seeds = [`${host}:${port}`];
  const second = await startReadyEdge(t, store, { instance: "n2", seeds });
  for (const { settings } of [first, second]) {
    for (let index = 0; index < 5; index++) {
      t.is((await callEdge(settings.callers, { headers })).status, 200);
    }
  }
  t.is(backends[0]!.requests.length, 10);
  // Later assignments are saved as well.
  await client.writeSavedState({});
  await callEdge(first.settings.callers, {
    headers: { "dotterelmoor-object": "18" },
  });
  await waitUntil(t, async () => {
    const kept = (await client.readSavedState()).unwrap() as Partial<
      SavedState
    >;
    const keys = Object.values(kept.objects ?? {}).flat();
    return keys.includes(key) && keys.includes("desk\nr1 18");
  }, 9_000);
});

test("guards against lookups that return an entry which is shutting down", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putRouteAndServers(store, [backend!]);
  const first = await startReadyEdge(t, store, { instance: "n1" });
  const seeds = [`127.0.0.1:${first.settings.peers.port}`];
  const second = await startReadyEdge(t, store, { instance: "n2", seeds });
  const lookUp = async (): Promise<string[]> => {
    const path = "/lookup?region=a&zone=a-1";
    return JSON.parse((await callEdge(first.settings.lookups, { path })).body);
  };
  const address = `127.0.0.1:${second.settings.callers.port}`;
  await waitUntil(t, async () => (await lookUp()).includes(address));
  const ended = second.leave();
  await waitUntil(t, async () => !(await lookUp()).includes(address));
  t.false(await second.isReady());
  await ended;
});

test("guards against requests that are accepted during the shutdown and cut off", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [(_request, response) => {
    setTimeout(() => response.end("late"), 400);
  }]);
  putRouteAndServers(store, [backend!]);
  // Requests of 400 ms that are accepted before the first refusal end within
  // this grace period.
  const bounds = { ...TEST_BOUNDS, graceMs: 3_000 };
  const { settings, leave } = await startReadyEdge(t, store, { bounds });
  const accepted = callEdge(settings.callers, { id: "q1" });
  await waitUntil(t, () => Promise.resolve(backend!.requests.length === 1));
  const ended = leave();
  t.is((await accepted).status, 200);
  t.is((await accepted).headers.connection, "close");
  // After a share of the grace period, requests are refused and not run; later,
  // no connection is accepted. Calls overlap, as each may take 400 ms.
  const calls: Promise<CallerAnswer | string>[] = [];
  let isClosed = false;
  while (!isClosed) {
    const id = `late${calls.length}`;
    const call = callEdge(settings.callers, { id }).catch((error) => {
      isClosed ||= error.code === "ECONNREFUSED";
      return String(error.code);
    });
    calls.push(call);
    await new Promise((resolve) => setTimeout(resolve, 30));
  }
  let refused = 0;
  for (const [index, answer] of (await Promise.all(calls)).entries()) {
    const hasRun = backend!.requests.includes(`late${index}`);
    if (typeof answer === "string") {
      // The listener closed before it accepted the connection.
      t.true(["ECONNREFUSED", "ECONNRESET"].includes(answer), answer);
      t.false(hasRun);
      continue;
    }
    t.is(answer.status, hasRun ? 200 : 503);
    if (hasRun) continue;
    refused += 1;
    t.truthy(answer.headers["retry-after"]);
  }
  t.true(refused > 0);
  await ended;
});

test("guards against malformed requests that reach a server", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putRouteAndServers(store, [backend!]);
  const { settings } = await startReadyEdge(t, store);
  const malformed = [
    "GET /a/x HTTP/1.1\r\nhost desk.example\r\n\r\n",
    "POST /a/x HTTP/1.1\r\nhost: desk.example\r\n" +
    "dotterelmoor-request-id: q1\r\ncontent-length: 4\r\n" +
    "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "GET /a/x HTTP/1.1\r\nhost: desk.example\r\n\r\n",
  ];
  for (const text of malformed) {
    const answer = await new Promise<string>((resolve) => {
      const socket = connect(settings.callers);
      let read = "";
      socket.setEncoding("utf8").on("data", (data) => read += data);
      socket.on("error", () => {});
      socket.on("close", () => resolve(read));
      socket.write(text, () => setTimeout(() => socket.end(), 100));
    });
    t.regex(answer, /^HTTP\/1\.1 400 /);
  }
  t.deepEqual(backend!.requests, []);
});
