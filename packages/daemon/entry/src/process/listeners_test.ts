import { EventEmitter, once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import test from "ava";
import { pino } from "pino";
import { openListener } from "./listeners.ts";

// The request runs, so the status of Node.js's answer would be a false promise.
test("guards against answering a running request with the status of what follows it", async (t) => {
  const arrivals = new EventEmitter();
  const lines = new EventEmitter();
  const listener = await openListener({
    host: "127.0.0.1",
    port: 0,
    maxConnections: 1,
    handler: (_request, response) => arrivals.emit("request", response),
    log: pino({}, { write: (line) => lines.emit("line", JSON.parse(line)) }),
  });
  t.teardown(() => listener.close());
  const socket = connect(Number(listener.address.split(":")[1]), "127.0.0.1");
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  const closed = once(socket, "close");
  socket.write(
    "POST /services/a/x HTTP/1.1\r\nhost: entry\r\n" +
      "dotterelmoor-request-id: q1\r\n\r\n",
  );
  const [response] = await once(arrivals, "request") as [ServerResponse];
  const logged = once(lines, "line");
  socket.write("\0\0\0\r\n\r\n");
  await Promise.race([logged, closed]);
  response.end("answer to q1");
  await closed;
  t.deepEqual(received.match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 200"]);
  t.regex(received, /connection: close[^]*answer to q1/i);
  const [line] = await logged;
  t.like(line, { action: "kept", pending: 1, requests: ["q1"] });
});

// Its connection stays open for the rest of its answer.
test("guards against a stop that waits for a caller which reads nothing", async (t) => {
  const arrivals = new EventEmitter();
  const lines: { msg: string }[] = [];
  const listener = await openListener({
    host: "127.0.0.1",
    port: 0,
    maxConnections: 1,
    handler: (_request, response) => arrivals.emit("request", response),
    log: pino({}, { write: (line) => lines.push(JSON.parse(line)) }),
    unreadTimeoutMs: 500,
  });
  const socket = connect(Number(listener.address.split(":")[1]), "127.0.0.1");
  t.teardown(() => socket.destroy());
  socket.write("GET / HTTP/1.1\r\nhost: entry\r\n\r\n");
  const [response] = await once(arrivals, "request") as [ServerResponse];
  response.end("x".repeat(32 * 1_024 * 1_024));
  await listener.close();
  t.false(response.writableFinished);
  t.regex(lines.at(-1)?.msg ?? "", /^Connections cut off/);
});

// Node.js drops the header lines behind a number of them: an idempotency key or a
// time budget among them was taken for missing.
test("guards against losing the headers behind many header lines", async (t) => {
  const listener = await openListener({
    host: "127.0.0.1",
    port: 0,
    maxConnections: 1,
    handler: ({ headers }, response) =>
      response.end(headers["idempotency-key"]),
    log: pino({ level: "silent" }),
  });
  t.teardown(() => listener.close());
  const socket = connect(Number(listener.address.split(":")[1]), "127.0.0.1");
  t.teardown(() => socket.destroy());
  const lines = Array.from({ length: 2_000 }, (_, index) => `${index}: 1`);
  socket.write(
    `GET / HTTP/1.1\r\nhost: entry\r\n${lines.join("\r\n")}\r\n` +
      "idempotency-key: k1\r\n\r\n",
  );
  const [answer] = await once(socket, "data");
  t.regex(String(answer), /\r\n\r\nk1$/);
});
