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
import type { KeptState } from "@dotterelmoor/network.peering";
import { startEdge } from "./mod.ts";
import {
  putAll,
  startBackends,
  startReady,
  waitUntil,
} from "./started_fixture.ts";

test("guards against a request that is changed or answered by another", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putAll(store, [backend!]);
  const { settings } = await startReady(t, store);
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

test("guards against requests that no route takes", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putAll(store, [backend!]);
  const { settings } = await startReady(t, store);
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

test("guards against a refusal that another server could have served", async (t) => {
  const store = createMemoryStore();
  const [shedding, serving] = await startBackends(t, [
    (_request, response) => {
      response.writeHead(503, { "dotterelmoor-not-run": "true" }).end();
    },
    undefined,
  ]);
  const route = buildRoute({ repeatable: false });
  putAll(store, [shedding!, serving!], route);
  const { settings } = await startReady(t, store);
  for (let index = 0; index < 8; index++) {
    const answer = await callEdge(settings.callers, {
      id: `q${index}`,
      headers: { "dotterelmoor-object": String(index) },
    });
    t.is(answer.status, 200);
  }
  t.true(shedding!.requests.length > 0);
});

test("guards against a non-repeatable request that is sent twice or called not run", async (t) => {
  const store = createMemoryStore();
  const cut = (request: { readonly socket: { destroy(): void } }) =>
    request.socket.destroy();
  const backends = await startBackends(t, [cut, cut]);
  putAll(store, backends, buildRoute({ repeatable: false }));
  const { settings } = await startReady(t, store);
  const answer = await callEdge(settings.callers, { id: "q1" });
  t.is(answer.status, 502);
  const requests = backends.flatMap((backend) => backend.requests);
  t.deepEqual(requests, ["q1"]);
});

test("guards against a repeatable request whose lost answer is waited for", async (t) => {
  const store = createMemoryStore();
  const silent = () => {};
  const backends = await startBackends(t, [silent, undefined]);
  putAll(store, backends, buildRoute({ timeoutMs: 5_000 }));
  const { settings } = await startReady(t, store);
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

test("guards against a request that is kept beyond its route's timeout", async (t) => {
  const store = createMemoryStore();
  const backends = await startBackends(t, [() => {}]);
  putAll(store, backends, buildRoute({ timeoutMs: 300 }));
  const { settings } = await startReady(t, store);
  const startedAtMs = performance.now();
  const answer = await callEdge(settings.callers);
  t.is(answer.status, 504);
  t.true(performance.now() - startedAtMs < 800);
});

test("guards against servers that work on for a caller that has left", async (t) => {
  const store = createMemoryStore();
  let closed = 0;
  const [backend] = await startBackends(t, [(request) => {
    request.socket.once("close", () => closed += 1);
  }]);
  putAll(store, [backend!]);
  const { settings } = await startReady(t, store);
  const controller = new AbortController();
  const call = callEdge(settings.callers, { signal: controller.signal });
  await waitUntil(t, () => Promise.resolve(backend!.requests.length === 1));
  controller.abort();
  await t.throwsAsync(call);
  await waitUntil(t, () => Promise.resolve(closed === 1));
});

test("guards against an entry that is not told of changes by the reading one", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putAll(store, [backend!]);
  const first = await startReady(t, store, { instance: "n1" });
  const seeds = [`127.0.0.1:${first.settings.peers.port}`];
  const second = await startReady(t, store, { instance: "n2", seeds });
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

test("guards against calls to the store by every entry", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putAll(store, [backend!]);
  const first = await startReady(t, store, { instance: "n1" });
  const seeds = [`127.0.0.1:${first.settings.peers.port}`];
  await startReady(t, store, { instance: "n2", seeds });
  // Both have joined once one of them makes no call for two of the intervals.
  await waitUntil(t, async () => {
    const before = [store.countCalls("n1"), store.countCalls("n2")];
    await new Promise((resolve) => setTimeout(resolve, 1_700));
    const after = [store.countCalls("n1"), store.countCalls("n2")];
    return after.filter((count, index) => count > before[index]!).length === 1;
  });
});

test("guards against an entry that the store turns away and that misses a change", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putAll(store, [backend!]);
  const entries = [await startReady(t, store, { instance: "n1" })];
  const seeds = [`127.0.0.1:${entries[0]!.settings.peers.port}`];
  entries.push(await startReady(t, store, { instance: "n2", seeds }));
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

test("guards against an outage of the store that stops serving", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putAll(store, [backend!]);
  const { settings, isReady } = await startReady(t, store);
  store.setDown(true);
  const endAtMs = performance.now() + 2_500;
  while (performance.now() < endAtMs) {
    t.is((await callEdge(settings.callers)).status, 200);
    t.true(await isReady());
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
});

test("guards against a start that leaves half of an edge running", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putAll(store, [backend!]);
  const first = await startReady(t, store);
  const settings = await buildSettings("n2", {
    readiness: first.settings.readiness,
  });
  const platform = buildPlatform(store.createClient("n2"));
  await t.throwsAsync(startEdge(settings, platform), { code: "EADDRINUSE" });
  await t.throwsAsync(callEdge(settings.callers), { code: "ECONNREFUSED" });
});

test("guards against objects and run times that are lost with all entries", async (t) => {
  const store = createMemoryStore();
  const backends = await startBackends(t, [undefined, undefined, undefined]);
  // A pause of this process must not make the server look slow.
  const route = buildRoute({ targetLatencyMs: 2_000, timeoutMs: 5_000 });
  putAll(store, backends, route);
  const client = store.createClient("n0");
  const all = { warmMs: 400, coldMs: 1_200, meanMs: 500 };
  // Without an assignment, this object goes to s1.
  const key = "desk\nr1 17";
  await client.writeKept({
    plans: { desk: { all, routes: { r1: all } } },
    objects: { s0: [key] },
  });
  const first = await startReady(t, store, { instance: "n1" });
  const headers = { "dotterelmoor-object": "17" };
  const { host, port } = first.settings.peers;
  const seeds = [`${host}:${port}`];
  const second = await startReady(t, store, { instance: "n2", seeds });
  for (const { settings } of [first, second]) {
    for (let index = 0; index < 5; index++) {
      t.is((await callEdge(settings.callers, { headers })).status, 200);
    }
  }
  t.is(backends[0]!.requests.length, 10);
  // What is learnt since is kept as well.
  await client.writeKept({});
  await callEdge(first.settings.callers, {
    headers: { "dotterelmoor-object": "18" },
  });
  await waitUntil(t, async () => {
    const kept = (await client.readKept()).unwrap() as Partial<KeptState>;
    const keys = Object.values(kept.objects ?? {}).flat();
    return keys.includes(key) && keys.includes("desk\nr1 18");
  }, 9_000);
});

test("guards against look-ups that name an entry which is leaving", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  putAll(store, [backend!]);
  const first = await startReady(t, store, { instance: "n1" });
  const seeds = [`127.0.0.1:${first.settings.peers.port}`];
  const second = await startReady(t, store, { instance: "n2", seeds });
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

test("guards against requests that a leaving entry accepts and cuts off", async (t) => {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [(_request, response) => {
    setTimeout(() => response.end("late"), 400);
  }]);
  putAll(store, [backend!]);
  // Requests of 400 ms that are accepted until the first refusal end in time.
  const bounds = { ...TEST_BOUNDS, graceMs: 3_000 };
  const { settings, leave } = await startReady(t, store, { bounds });
  const accepted = callEdge(settings.callers, { id: "q1" });
  await waitUntil(t, () => Promise.resolve(backend!.requests.length === 1));
  const ended = leave();
  t.is((await accepted).status, 200);
  t.is((await accepted).headers.connection, "close");
  // After a part of the grace, requests are refused and not run; later
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
      // The listener closed before it took the connection.
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
  putAll(store, [backend!]);
  const { settings } = await startReady(t, store);
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
