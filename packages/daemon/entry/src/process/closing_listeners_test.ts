import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { buffer } from "node:stream/consumers";
import test from "ava";
import { pino } from "pino";
import { openListener } from "./listeners.ts";

/** Larger than the socket buffers, so that it ends only when the caller
 * reads. */
const BODY = "x".repeat(32 * 1_024 * 1_024);

/** Opens a listener whose requests the test answers by their paths. */
async function openTestListener(unreadTimeoutMs = 60_000) {
  const responses = new Map<string, ServerResponse>();
  let markReceived = () => {};
  const listener = await openListener({
    host: "127.0.0.1",
    port: 0,
    maxConnections: 10,
    handler: (request, response) => {
      responses.set(request.url!, response);
      markReceived();
    },
    log: pino({ level: "silent" }),
    unreadTimeoutMs,
  });
  const port = Number(listener.address.split(":")[1]);
  const openCaller = async (...paths: string[]) => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    const heads = paths.map((path) =>
      `GET ${path} HTTP/1.1\r\nhost: desk.example\r\n\r\n`
    );
    socket.write(heads.join(""));
    while (!paths.every((path) => responses.has(path))) {
      await new Promise<void>((resolve) => markReceived = resolve);
    }
    return socket;
  };
  return { listener, responses, openCaller };
}

// Node.js counts a connection as idle once its oldest answer is ended, although
// the caller has not read it all and later requests are in progress.
test("guards against cutting an answer that a caller reads slowly, and the answer behind it, when a listener closes", async (t) => {
  const { listener, responses, openCaller } = await openTestListener();
  const socket = await openCaller("/q1", "/q2");
  responses.get("/q1")!.end(BODY);
  await once(socket, "readable");
  const closed = listener.close();
  responses.get("/q2")!.end("answer to q2");
  const received = (await buffer(socket)).toString();
  t.true(received.length > BODY.length, `${received.length} bytes`);
  t.true(received.endsWith("answer to q2"));
  await closed;
});

// Its keep-alive time would hold up the shutdown.
test("guards against waiting for connections that are idle, or become so, when a listener closes", async (t) => {
  const { listener, responses, openCaller } = await openTestListener();
  const idle = await openCaller("/q1");
  const isIdle = once(responses.get("/q1")!, "close");
  responses.get("/q1")!.end("answer to q1");
  await isIdle;
  const busy = await openCaller("/q2");
  const closed = listener.close();
  responses.get("/q2")!.end("answer to q2");
  const startedAtMs = performance.now();
  await closed;
  t.true(performance.now() - startedAtMs < 2_000);
  for (const socket of [idle, busy]) socket.destroy();
});

// Such a caller would keep the process from ever exiting.
test("guards against waiting without end for a caller that does not read its answer", async (t) => {
  const { listener, responses, openCaller } = await openTestListener(100);
  const socket = await openCaller("/q1");
  responses.get("/q1")!.end(BODY);
  await once(socket, "readable");
  await listener.close();
  t.false(responses.get("/q1")!.writableFinished);
  socket.destroy();
});
