import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { wait } from "../process/intervals.ts";
import type { EdgeMetrics } from "../process/metrics.ts";
import { startFront } from "./front_fixture.ts";
import { createHeldForwarder, writeRequest } from "./held_forwarder_fixture.ts";

/** Options with which the server soon misses the rest of a head. */
const SHORT_TIMES = { headersMs: 50, checkMs: 10 };

/** Bytes behind a request that make its connection useless. */
const TAILS: Readonly<Record<string, string>> = {
  "the beginning of a head": "POST /a/q2 HTTP/1.1\r\nhost: desk",
  "bytes that are no HTTP": "\0\0\0\r\n\r\n",
  "a head over the limit": `GET /a/q2 HTTP/1.1\r\nx: ${
    "x".repeat(200_000)
  }\r\n\r\n`,
};

/** Resolves when a connection has broken. */
async function waitForBroken(metrics: EdgeMetrics): Promise<void> {
  const count = async () => (await metrics.brokenConnections.get()).values;
  while ((await count()).length === 0) await wait(5);
}

/** Reads all that the server writes; resolves when the connection has
 * closed. */
async function readAll(socket: Socket): Promise<string> {
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  socket.on("error", () => {});
  await once(socket, "close");
  return received;
}

// The server runs the request, so a status that promises the opposite makes
// its caller send it again.
for (const [name, tail] of Object.entries(TAILS)) {
  test(`guards against an answer of Node.js's in the place of a running request's, behind it ${name}`, async (t) => {
    const forwarder = createHeldForwarder();
    const { address, metrics } = await startFront(t, forwarder, SHORT_TIMES);
    const socket = connect(address);
    const received = readAll(socket);
    socket.write(writeRequest("q1"));
    await forwarder.waitFor(1);
    socket.write(tail);
    await Promise.race([waitForBroken(metrics), received]);
    forwarder.ends.get("q1")!("answer to q1");
    const answers = await received;
    t.deepEqual(answers.match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 200"]);
    t.regex(answers, /connection: close[^]*answer to q1$/i);
    t.deepEqual([...forwarder.ends.keys()], ["q1"]);
  });
}

// The request before it runs; it was not passed on itself.
test("guards against a broken body that is answered before a running request or not at all", async (t) => {
  const forwarder = createHeldForwarder();
  const { address, front, metrics } = await startFront(t, forwarder);
  const socket = connect(address);
  const received = readAll(socket);
  const head = writeRequest("q2").replace("GET", "POST").trimEnd();
  socket.write(
    `${writeRequest("q1")}${head}\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n`,
  );
  await forwarder.waitFor(1);
  await Promise.race([waitForBroken(metrics), received]);
  forwarder.ends.get("q1")!("answer to q1");
  const answers = await received;
  t.deepEqual(answers.match(/HTTP\/1.1 \d+/g), [
    "HTTP/1.1 200",
    "HTTP/1.1 400",
  ]);
  t.regex(answers, /answer to q1[^]*connection: close\r\n.*request-id: q2/i);
  t.deepEqual([...forwarder.ends.keys()], ["q1"]);
  while (front.inFlight > 0) await wait(5);
  const counted = await metrics.requests.get();
  t.like(
    counted.values.find(({ labels }) => labels.outcome === "invalid"),
    { value: 1, labels: { reason: "malformed" } },
  );
});

/** Waits for three requests in a pipeline, of which the second has the given
 * head, and answers those that are forwarded. */
async function answerThree(t: ExecutionContext, odd: string, count: number) {
  const forwarder = createHeldForwarder();
  const { address } = await startFront(t, forwarder);
  const socket = connect(address);
  const received = readAll(socket);
  const last = writeRequest("q3").replace(/\r\n$/, "connection: close\r\n\r\n");
  socket.write(writeRequest("q1") + odd + last);
  await Promise.race([forwarder.waitFor(count), received]);
  for (const [id, end] of forwarder.ends) end(`answer to ${id}`);
  return await received;
}

// Node.js closes the connection with its answer to the one without a host; the
// requests behind it are forwarded before.
test("guards against cutting off running requests by one that lacks its host", async (t) => {
  const odd = writeRequest("q2").replace("host: desk.example\r\n", "");
  const answers = await answerThree(t, odd, 2);
  const statuses = [...answers.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, s]) => s);
  t.deepEqual(statuses, ["200", "400", "200"]);
  t.regex(answers, /request-id: q2\r[^]*malformed[^]*answer to q3$/);
});

// The header may be passed over, and an answer of Node.js's has no line.
test("guards against an answer of Node.js's to a request with an unknown expectation", async (t) => {
  const odd = writeRequest("q2").replace(/\r\n$/, "expect: x\r\n\r\n");
  const answers = await answerThree(t, odd, 3);
  const statuses = [...answers.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, s]) => s);
  t.deepEqual(statuses, ["200", "200", "200"]);
});
