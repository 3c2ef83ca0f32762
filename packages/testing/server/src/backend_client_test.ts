import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { once } from "node:events";
import type { ClientRequest } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import type { ExecutionContext } from "ava";
import test from "ava";
import { createBackendClient } from "@dotterelmoor/network.backend";
import type {
  BackendClientOptions,
  BackendRequest,
  BackendResult,
} from "@dotterelmoor/network.backend";
import { createRandom } from "./random.ts";
import { startServer } from "./server.ts";
import type { ServerOptions } from "./types.ts";

const SEED = 7_717;

function makeRequest(address: string, id: string): BackendRequest {
  return {
    address,
    method: "POST",
    path: `/echo/../${id}`,
    headers: { "idempotency-key": id, connection: "x-hop", "x-hop": "1" },
    body: new TextEncoder().encode(`body of ${id}`),
    deadlineMs: 5_000,
    requestId: id,
  };
}

function openClient(t: ExecutionContext, options: BackendClientOptions = {}) {
  const client = createBackendClient(options);
  t.teardown(() => client.close());
  return client;
}

async function openServer(t: ExecutionContext, options: ServerOptions = {}) {
  const server = await startServer({ serviceMs: 1, ...options });
  t.teardown(() => server.close());
  return server;
}

/** Starts a TCP server that passes each received chunk to `onData`. */
async function openTcpServer(
  t: ExecutionContext,
  onData: (socket: Socket, chunk: Buffer) => void,
): Promise<{ address: string; server: Server }> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", (chunk) => onData(socket, chunk));
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, server };
}

function makeResponse(requestId: string, body: string): string {
  return `HTTP/1.1 200 OK\r\ndotterelmoor-request-id: ${requestId}\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}

function parseResponse(result: BackendResult): Record<string, unknown> {
  if (result.type !== "answered") return { failed: result.type };
  return JSON.parse(new TextDecoder().decode(result.body));
}

// 200 requests over 16 connections, some of which time out or are cancelled in
// the middle of a response.
test("guards against responses that reach another request", async (t) => {
  const random = createRandom(SEED);
  const server = await openServer(t, {
    slots: 1_000,
    serviceMs: 20,
    distribution: "exponential",
    seed: SEED,
    answerBytes: 5_000,
  });
  const client = openClient(t, { maxConnectionsPerServer: 16 });
  const results = await Promise.all(
    Array.from({ length: 200 }, async (_, i) => {
      const request = makeRequest(server.address, `r${i}`);
      const cancel = new AbortController();
      const hasShortDeadline = random() < 0.3;
      if (random() < 0.2) setTimeout(() => cancel.abort(), 300 * random());
      return await client.send({
        ...request,
        deadlineMs: hasShortDeadline ? 10 + 200 * random() : 20_000,
        signal: cancel.signal,
      });
    }),
  );
  const types = new Set<string>();
  results.forEach((result, i) => {
    types.add(result.type);
    if (result.type !== "answered" || result.status === 504) return;
    t.like(parseResponse(result), {
      path: `/echo/../r${i}`,
      requestId: `r${i}`,
      key: `r${i}`,
      body: `body of r${i}`,
    }, `seed ${SEED}`);
  });
  t.true(types.has("answered") && types.has("cancelled"), `seed ${SEED}`);
  const { runsByKey } = server.readCounters();
  t.true(Object.values(runsByKey).every((runs) => runs === 1));
});

// The response to a timed-out request arrives on its connection just before the
// response to the next request.
test("guards against a late response on a reused connection", async (t) => {
  let requests = 0;
  const sockets: Socket[] = [];
  const { address } = await openTcpServer(t, (socket) => {
    requests += 1;
    sockets.push(socket);
    if (requests === 1) socket.write(makeResponse("open", "open"));
    if (requests === 3) {
      sockets[0]!.write(makeResponse("first", "late"));
      socket.write(makeResponse("second", "own"));
    }
  });
  const client = openClient(t, { maxConnectionsPerServer: 1 });
  await client.send(makeRequest(address, "open"));
  const first = makeRequest(address, "first");
  t.like(await client.send({ ...first, deadlineMs: 40 }), {
    type: "timed_out",
  });
  const second = await client.send(makeRequest(address, "second"));
  t.like(second, { type: "answered", body: Buffer.from("own") });
  t.is(sockets[0], sockets[1]);
  t.not(sockets[0], sockets[2]);
});

// The server sends a second, unsolicited response on an idle connection.
test("guards against unsolicited bytes read as the next response", async (t) => {
  let requests = 0;
  const { address } = await openTcpServer(t, (socket) => {
    requests += 1;
    const isFirst = requests === 1;
    const response = makeResponse(isFirst ? "a" : "b", `answer ${requests}`);
    socket.write(response, () => {
      if (!isFirst) return;
      setImmediate(() => socket.write(makeResponse("b", "bad")));
    });
    if (isFirst) socket.once("close", () => resolveClosed());
  });
  let resolveClosed = () => {};
  const socketClosed = new Promise<void>((resolve) => resolveClosed = resolve);
  const client = openClient(t, { maxConnectionsPerServer: 1 });
  await client.send(makeRequest(address, "a"));
  await socketClosed;
  const second = await client.send(makeRequest(address, "b"));
  t.like(second, { type: "answered", body: Buffer.from("answer 2") });
});

// A body is truncated, larger than the limit, or ends with the connection and
// without a length, so that a truncation could not be noticed.
test("guards against truncated or oversized responses accepted as complete", async (t) => {
  const server = await openServer(t, { answerBytes: 2_000 });
  const client = openClient(t, { maxAnswerBytes: 3_000 });
  server.setFaults({ cutBody: true });
  const request = makeRequest(server.address, "a");
  t.deepEqual(await client.send(request), { type: "incomplete_answer" });
  server.setFaults({ cutBody: false });
  t.like(await client.send(request), { type: "answered", status: 200 });
  const limitedClient = openClient(t, { maxAnswerBytes: 1_000 });
  t.deepEqual(await limitedClient.send(request), { type: "incomplete_answer" });

  const closeDelimited = await openTcpServer(t, (socket) => {
    socket.end("HTTP/1.1 200 OK\r\n\r\nperhaps cut");
  });
  t.deepEqual(await client.send(makeRequest(closeDelimited.address, "b")), {
    type: "incomplete_answer",
  });
});

// Only a refused connection or a refusal by the server proves that a request
// did not run; a connection that closes after it was sent does not.
test("guards against reporting a request that may have run as not run", async (t) => {
  const client = openClient(t);
  const closing = await openTcpServer(t, (socket) => socket.destroy());
  t.deepEqual(await client.send(makeRequest(closing.address, "a")), {
    type: "connection_lost",
  });
  closing.server.close();
  await once(closing.server, "close");
  t.deepEqual(await client.send(makeRequest(closing.address, "b")), {
    type: "connection_refused",
  });

  const crashing = await openServer(t, { crashHeader: "x-crash" });
  const crashRequest = makeRequest(crashing.address, "p");
  const headers = { "x-crash": "1" };
  t.deepEqual(await client.send({ ...crashRequest, headers }), {
    type: "connection_lost",
  });
  t.is(crashing.readCounters().runs, 1);
  t.deepEqual(await client.send(crashRequest), { type: "connection_refused" });

  const server = await openServer(t);
  server.setFaults({ draining: true });
  t.deepEqual(await client.send(makeRequest(server.address, "c")), {
    type: "refused",
    draining: true,
  });
  t.is(server.readCounters().runs, 0);
});

test("guards against a cancelled request that keeps its connection open", async (t) => {
  const cancel = new AbortController();
  let resolveClosed = () => {};
  const socketClosed = new Promise<void>((resolve) => resolveClosed = resolve);
  const { address } = await openTcpServer(t, (socket) => {
    socket.once("close", () => resolveClosed());
    cancel.abort();
  });
  const client = openClient(t);
  const request = { ...makeRequest(address, "a"), signal: cancel.signal };
  t.deepEqual(await client.send(request), { type: "cancelled", sent: true });
  await socketClosed;
  t.deepEqual(await client.send(request), { type: "cancelled", sent: false });
});

// The work limit is read in the same event loop turn in which the request is
// written to its connection, so that the authority cannot lapse in between; the
// server stops the work when the limit has passed.
test("guards against work started on lapsed authority", async (t) => {
  const server = await openServer(t);
  const client = openClient(t);
  const request = makeRequest(server.address, "authority");
  const unauthorized = await client.send({ ...request, workLimitMs: () => 0 });
  t.deepEqual(unauthorized, { type: "not_authorized" });
  t.is(server.readCounters().runs, 0);

  let isSameTurn = false;
  let isWritten = false;
  const onWritten = (message: unknown) => {
    const { request } = message as { request: ClientRequest };
    if (request.getHeader("dotterelmoor-request-id") !== "authority") return;
    isWritten = isSameTurn && !request.socket!.connecting;
  };
  subscribe("http.client.request.start", onWritten);
  t.teardown(() => unsubscribe("http.client.request.start", onWritten));
  const workLimitMs = () => {
    isSameTurn = true;
    setImmediate(() => isSameTurn = false);
    return 30;
  };
  server.setFaults({ hang: true });
  const stopped = await client.send({ ...request, workLimitMs });
  t.like(stopped, { type: "answered", status: 504 });
  if (stopped.type === "answered") {
    const echo = JSON.parse(Buffer.from(stopped.body).toString());
    t.is(echo.requestId, "authority");
  }
  t.true(
    isWritten,
    "the request must be written to an open connection in the same turn",
  );
  t.is(server.readCounters().stoppedAtDeadline, 1);
});

// The counters of the simulated server are the evidence in other tests that no
// entry overloads a server.
test("guards against overload that the server does not count", async (t) => {
  const server = await openServer(t, { slots: 2, faults: { hang: true } });
  const client = openClient(t);
  const cancel = new AbortController();
  const request = makeRequest(server.address, "k");
  const send = () => client.send({ ...request, signal: cancel.signal });
  const hanging = [send(), send(), send()];
  while (server.readCounters().runs < 3) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.like(server.readCounters(), {
    maxInFlight: 3,
    overSlots: 1,
    runsByKey: { k: 3 },
    inFlight: 3,
  });
  server.setFaults({ shed: true });
  t.deepEqual(await send(), { type: "refused", draining: false });
  t.like(server.readCounters(), { runs: 3, overSlots: 1, refused: 1 });
  t.deepEqual(await client.fetchHealth(server.address, 5_000), {
    type: "health",
    state: "ok",
    inFlight: 3,
    slots: 2,
  });
  cancel.abort();
  await Promise.all(hanging);
  while (server.readCounters().cancelled < 3) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.is(server.readCounters().inFlight, 0);
});
