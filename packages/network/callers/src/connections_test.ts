import { once } from "node:events";
import { setTimeout as wait } from "node:timers/promises";
import test from "ava";
import {
  BROKEN_HEADS,
  connectCaller,
  listStatuses,
  startWatchedServer,
} from "./watched_server_fixture.ts";

/** Answers of this many bytes don't fit into the buffers of a connection. */
const LARGE_BYTES = 32 * 1_024 * 1_024;

// The status of Node.js's answer would be taken for that of the first request,
// which runs.
for (const [name, head] of Object.entries(BROKEN_HEADS)) {
  test(`guards against an answer of Node.js's before those of running requests, behind them ${name}`, async (t) => {
    const server = await startWatchedServer(t);
    const caller = connectCaller(t, server.port, ["/q1", "/q2"]);
    await server.waitForRequests(2);
    caller.socket.write(head);
    await Promise.race([server.waitForBroken(1), caller.received]);
    server.responses.get("/q2")!.end("answer 2");
    server.responses.get("/q1")!.end("answer 1");
    const received = await caller.received;
    t.deepEqual(listStatuses(received), [200, 200]);
    t.regex(received, /answer 1[^]*connection: close[^]*answer 2/i);
    t.is(received.match(/connection: close/gi)?.length, 1);
    const [{ action, pending } = t.fail()] = server.broken;
    t.is(action, "kept");
    t.deepEqual(pending.map(({ url }) => url), ["/q1", "/q2"]);
  });
}

// The answer's head is written, so that nothing tells its caller that the
// connection closes.
test("guards against cutting off an answer that is being written when its connection breaks", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port, ["/q1"]);
  caller.socket.pause();
  await server.waitForRequests(1);
  const response = server.responses.get("/q1")!;
  response.end("x".repeat(LARGE_BYTES));
  caller.socket.write(BROKEN_HEADS["bytes that are no HTTP"]);
  await Promise.race([server.waitForBroken(1), once(response, "close")]);
  caller.socket.resume();
  const received = await caller.received;
  t.deepEqual(listStatuses(received), [200]);
  t.is(received.match(/x{1000}/g)?.length, Math.floor(LARGE_BYTES / 1_000));
});

// Such a request was not passed on, but the one before it was.
test("guards against an answer to a broken body before the answer to a running request", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port, ["/q1"]);
  caller.socket.write(
    "POST /q2 HTTP/1.1\r\nhost: desk\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
  );
  await Promise.race([server.waitForBroken(1), caller.received]);
  server.responses.get("/q1")!.end("answer 1");
  const received = await caller.received;
  t.deepEqual(listStatuses(received), [200, 400]);
  t.regex(received, /answer 1[^]*connection: close/i);
});

const LONE_HEADS = [
  ["the beginning of a head", 408],
  ["bytes that are no HTTP", 400],
  ["a head over the limit", 431],
] as const;

for (const [name, status] of LONE_HEADS) {
  test(`guards against leaving ${name} without an answer on a connection without requests`, async (t) => {
    const server = await startWatchedServer(t);
    const caller = connectCaller(t, server.port, ["/q1"]);
    await server.waitForRequests(1);
    server.responses.get("/q1")!.end("answer 1");
    await once(caller.socket, "data");
    caller.socket.write(BROKEN_HEADS[name]);
    const received = await caller.received;
    t.deepEqual(listStatuses(received), [200, status]);
    t.regex(received, /answer 1[^]*connection: close/i);
    t.deepEqual(server.broken.map(({ action }) => action), ["answered"]);
  });
}

// Each part that arrives is one more error to Node.js.
test("guards against keeping or reporting what a caller sends on a broken connection", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port, ["/q1"]);
  await server.waitForRequests(1);
  caller.socket.write(BROKEN_HEADS["bytes that are no HTTP"]);
  await Promise.race([server.waitForBroken(1), caller.received]);
  const { socket } = server.responses.get("/q1")!;
  const request = "GET /q2 HTTP/1.1\r\nhost: desk\r\n\r\n";
  caller.socket.write(request.repeat(200_000));
  if (caller.socket.writableNeedDrain) await once(caller.socket, "drain");
  t.is(socket?.readableLength, 0);
  server.responses.get("/q1")!.end("answer 1");
  const received = await caller.received;
  t.deepEqual(listStatuses(received), [200]);
  t.regex(received, /answer 1$/);
  t.deepEqual([...server.responses.keys()], ["/q1"]);
  t.is(server.broken.length, 1);
});

// The rest of a late head would be a request that is run, but not answered.
test("guards against running a request whose head is completed after its time", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port, ["/q1"]);
  await server.waitForRequests(1);
  caller.socket.write(BROKEN_HEADS["the beginning of a head"]);
  await Promise.race([server.waitForBroken(1), caller.received]);
  caller.socket.write("\r\n\r\nGET /q3 HTTP/1.1\r\nhost: desk\r\n\r\n");
  caller.socket.end();
  await caller.received;
  t.deepEqual([...server.responses.keys()], ["/q1"]);
});

const LEAVINGS = ["end", "resetAndDestroy"] as const;

// The server's work for a caller that has left is cancelled by this event.
for (const leave of LEAVINGS) {
  test(`guards against missing that a caller leaves its broken connection, by ${leave}`, async (t) => {
    const server = await startWatchedServer(t);
    const caller = connectCaller(t, server.port, ["/q1"]);
    await server.waitForRequests(1);
    const response = server.responses.get("/q1")!;
    const closed = once(response, "close");
    caller.socket.write(BROKEN_HEADS["bytes that are no HTTP"]);
    await Promise.race([server.waitForBroken(1), closed]);
    t.false(response.closed);
    caller.socket[leave]();
    await closed;
    t.false(response.writableFinished);
  });
}

// As without the beginning of a head behind the request.
test("guards against working on for a caller that ends its connection within a head", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port, ["/q1"]);
  await server.waitForRequests(1);
  const response = server.responses.get("/q1")!;
  const closed = once(response, "close");
  caller.socket.end("POST /q2 HTT");
  await closed;
  t.is(await caller.received, "");
  t.deepEqual(server.broken.map(({ action }) => action), ["dropped"]);
});

// Node.js tells it of the first response only.
test("guards against working on for requests in a pipeline whose caller has left", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port, ["/q1", "/q2", "/q3"]);
  await server.waitForRequests(3);
  const responses = [...server.responses.values()];
  const closes = responses.map(() => 0);
  responses.forEach((response, index) =>
    response.on("close", () => closes[index]! += 1)
  );
  const [first] = responses;
  const { socket } = first!;
  const closed = once(socket!, "close");
  caller.socket.destroy();
  await closed;
  await new Promise((resolve) => setImmediate(resolve));
  t.deepEqual(closes, [1, 1, 1]);
});

// Node.js closes the connection at once, while the requests run.
test("guards against cutting off running requests by a CONNECT behind them", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port, ["/q1", "/q2"]);
  await server.waitForRequests(2);
  caller.socket.write("CONNECT desk:1 HTTP/1.1\r\nhost: desk\r\n\r\n");
  await Promise.race([server.waitForBroken(1), caller.received]);
  server.responses.get("/q1")!.end("answer 1");
  server.responses.get("/q2")!.end("answer 2");
  const received = await caller.received;
  t.deepEqual(listStatuses(received), [200, 200]);
  t.regex(received, /answer 1[^]*connection: close[^]*answer 2/i);
});

test("guards against missing that a caller leaves behind its CONNECT", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port, ["/q1"]);
  await server.waitForRequests(1);
  const response = server.responses.get("/q1")!;
  const closed = once(response, "close");
  caller.socket.write("CONNECT desk:1 HTTP/1.1\r\nhost: desk\r\n\r\n");
  await Promise.race([server.waitForBroken(1), closed]);
  t.false(response.closed);
  caller.socket.end();
  await closed;
  t.false(response.writableFinished);
});

// The parser takes bytes behind such a request for an error.
test("guards against an answer of Node.js's in the place of a request that ends its connection", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port);
  caller.socket.write(
    "GET /q1 HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n\r\n",
  );
  await server.waitForRequests(1);
  const response = server.responses.get("/q1")!;
  const { socket } = response;
  caller.socket.write("GET /q2 HTTP/1.1\r\nhost: desk\r\n\r\n");
  // Some versions of the parser report what follows, and others drop it.
  while (socket!.bytesRead < caller.socket.bytesWritten) await wait(5);
  response.end("answer 1");
  const received = await caller.received;
  t.deepEqual(listStatuses(received), [200]);
  t.deepEqual([...server.responses.keys()], ["/q1"]);
});

/** Requests that ask for another protocol. */
const UPGRADES = {
  "without a body": "\r\n",
  "with a body": "content-length: 2\r\n\r\nhi",
};

// Node.js drops the beginning of what follows such a request, so that the rest
// may read as another request.
for (const [name, rest] of Object.entries(UPGRADES)) {
  test(`guards against taking a body for a request behind one that asks for another protocol, ${name}`, async (t) => {
    const server = await startWatchedServer(t);
    const caller = connectCaller(t, server.port);
    const body = "GET /body HTTP/1.1\r\nhost: desk\r\n\r\n";
    caller.socket.write(
      "GET /q1 HTTP/1.1\r\nhost: desk\r\nconnection: Upgrade\r\n" +
        `upgrade: h2c\r\n${rest}POST /q2 HTTP/1.1\r\nhost: desk\r\n` +
        `content-length: ${body.length}\r\n\r\n`,
    );
    await server.waitForRequests(1);
    caller.socket.write(body);
    // The request of another connection is read after the body.
    connectCaller(t, server.port, ["/q3"]);
    await server.waitForRequests(2);
    t.deepEqual([...server.responses.keys()], ["/q1", "/q3"]);
    server.responses.get("/q1")!.end("answer 1");
    const received = await caller.received;
    t.deepEqual(listStatuses(received), [200]);
    t.regex(received, /connection: close[^]*answer 1/i);
  });
}

// Nothing behind it is a message that lacks an answer.
test("guards against a second answer to a request that asks for another protocol", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port);
  caller.socket.write(
    "POST /q1 HTTP/1.1\r\nhost: desk\r\nconnection: upgrade\r\n" +
      "upgrade: h2c\r\ncontent-length: 2\r\n\r\n",
  );
  await server.waitForRequests(1);
  server.responses.get("/q1")!.end("answer 1");
  await once(caller.socket, "data");
  caller.socket.write("hi");
  t.deepEqual(listStatuses(await caller.received), [200]);
});

// Node.js takes a connection for idle whose answer is not written to the end.
test("guards against cutting off an answer that is being written when its server stops", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port, ["/q1", "/q2"]);
  caller.socket.pause();
  await server.waitForRequests(2);
  server.responses.get("/q1")!.end("x".repeat(LARGE_BYTES));
  server.close();
  caller.socket.resume();
  server.responses.get("/q2")!.setHeader("connection", "close").end("answer 2");
  const received = await caller.received;
  t.deepEqual(listStatuses(received), [200, 200]);
  t.is(received.match(/x{1000}/g)?.length, Math.floor(LARGE_BYTES / 1_000));
});

test("guards against a server that stops and keeps idle connections", async (t) => {
  const server = await startWatchedServer(t);
  const caller = connectCaller(t, server.port, ["/q1"]);
  await server.waitForRequests(1);
  server.responses.get("/q1")!.end("answer 1");
  await once(caller.socket, "data");
  server.close();
  t.deepEqual(listStatuses(await caller.received), [200]);
});
