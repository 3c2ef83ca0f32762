import { once } from "node:events";
import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { pino } from "pino";
import type { Outcome } from "@dotterelmoor/core.types";
import { createCallerApp, MAX_REQUEST_BYTES } from "./caller_app.ts";
import type { CallerAppOptions } from "./caller_app.ts";
import type { CallerRequest } from "./front.ts";

const REQUEST = "POST /services/a/x HTTP/1.1\r\nhost: entry\r\n";

/** Starts the interface for callers; resolves with a connection to it. */
async function connectToApp(
  t: ExecutionContext,
  changes: Partial<CallerAppOptions>,
) {
  const app = createCallerApp({
    lookUp: () => ({}),
    runRequest: () => Promise.reject(new Error("Not expected")),
    isReady: () => true,
    isLeaving: () => false,
    nowMs: () => 0,
    onAnswer: () => {},
    log: pino({ level: "silent" }),
    ...changes,
  });
  const server = createServer(app.callback());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  t.teardown(() => socket.destroy());
  return socket;
}

function buildAnswer(text: string): Outcome {
  return {
    type: "answered",
    server: "s1",
    status: 200,
    headers: {},
    body: Buffer.from(text),
  };
}

// The first answer would otherwise close the connection.
test("guards against cutting off pipelined requests with the first answer of a shutdown", async (t) => {
  const ends: ((outcome: Outcome) => void)[] = [];
  let markAllRun = () => {};
  const allRun = new Promise<void>((resolve) => markAllRun = resolve);
  const socket = await connectToApp(t, {
    isLeaving: () => true,
    runRequest: () =>
      new Promise((resolve) => {
        ends.push(resolve);
        if (ends.length === 3) markAllRun();
      }),
  });
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  socket.write(`${REQUEST}content-length: 0\r\n\r\n`.repeat(3));
  await allRun;
  ends.forEach((end, index) => end(buildAnswer(`answer ${index}`)));
  await once(socket, "close");
  t.deepEqual(received.match(/answer \d/g), [
    "answer 0",
    "answer 1",
    "answer 2",
  ]);
  t.is(received.match(/connection: close/gi)?.length, 1);
});

// The rest of its body is dropped.
test("guards against a shutdown that keeps the connection of a request that is too large", async (t) => {
  const socket = await connectToApp(t, { isLeaving: () => true });
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  socket.write(`${REQUEST}content-length: ${MAX_REQUEST_BYTES + 1}\r\n\r\n`);
  socket.write("x".repeat(MAX_REQUEST_BYTES + 1));
  await once(socket, "close");
  t.regex(received, /^HTTP\/1.1 503[^]*dotterelmoor-reason: too-large/);
  t.regex(received, /connection: close/i);
});

// Node.js keeps the first line of some names, and a caller that got two cookies
// joined to one kept a mixture of them.
test("guards against header lines that are dropped or joined because their name is repeated", async (t) => {
  const cookies = ["a=1; expires=Mon, 07 Dec 2026 04:00:00 GMT", "b=2"];
  const requests: CallerRequest[] = [];
  const socket = await connectToApp(t, {
    isLeaving: () => true,
    runRequest: (request) => {
      requests.push(request);
      const headers = { "set-cookie": cookies };
      return Promise.resolve({ ...buildAnswer("ok"), headers } as Outcome);
    },
  });
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  socket.write(
    `${REQUEST}authorization: a\r\nauthorization: b\r\n` +
      "content-length: 0\r\n\r\n",
  );
  await once(socket, "close");
  t.deepEqual(requests[0]!.headers["authorization"], ["a", "b"]);
  const lines = received.match(/^set-cookie: .*$/gim);
  t.deepEqual(lines, cookies.map((cookie) => `set-cookie: ${cookie}`));
});

// With an empty header, the parser finds no body and takes its bytes for the next
// request; another coding before the chunks would be passed on in the body.
for (const coding of ["", "gzip, chunked"]) {
  test(`guards against running what stands in a body of the transfer coding "${coding}"`, async (t) => {
    const requests: CallerRequest[] = [];
    const socket = await connectToApp(t, {
      runRequest: (request) => {
        requests.push(request);
        return Promise.resolve(buildAnswer("ran"));
      },
    });
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.write(`${REQUEST}transfer-encoding: ${coding}\r\n\r\n`);
    socket.write(coding === "" ? `${REQUEST}\r\n` : "2\r\nok\r\n0\r\n\r\n");
    await once(socket, "close");
    t.deepEqual(received.match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 501"]);
    t.deepEqual(requests, []);
  });
}
