import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import { DEADLINE_MS, writeRepeatedly } from "./endless_fixture.ts";
import { createBackendClient } from "./mod.ts";
import type { AnswerRejection } from "./mod.ts";
import { runInProcess } from "./endless_process_fixture.ts";

/** Faulty servers, and requests to each: the most connections that the client
 * opens to one server. */
const FAULTY_SERVERS = 4;
const SENDS_PER_SERVER = 64;

/** Allowed growth of the process's memory. An entry may take 272 MB, of which
 * it needs about 100 MB itself; without a bound on the sum, these bodies take
 * 800 MB and more. */
const MAX_GROWN_BYTES = 150 * 1_000 * 1_000;

/** Deadline in milliseconds of requests whose answers stop early. */
const STALLED_DEADLINE_MS = 3_000;

/** Largest body that the client accepts. */
const MAX_BODY_BYTES = 4 * 1_024 * 1_024;

const OK = "HTTP/1.1 200 OK\r\n";
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";
const CHUNK = `400\r\n${"a".repeat(1_024)}\r\n`;

/** Larger than one read, so that it counts against the bound. */
const SOUND_BODY = "s".repeat(100_000);

/** Starts a server that calls back for each request, which must fit in one
 * read; it closes after the test. */
async function startServer(
  t: ExecutionContext,
  onRequest: (socket: Socket) => void,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
    socket.on("data", () => onRequest(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Faulty answers by name; each must leave the process and its other requests
 * unharmed. */
const ANSWERS: Readonly<
  Record<string, {
    /** Sent once. */
    readonly head: string;
    /** Sent repeatedly; undefined if the server sends only the head. */
    readonly piece?: string;
    readonly deadlineMs: number;
  }>
> = {
  "bodies without a length": {
    head: `${OK}connection: close\r\n\r\n`,
    piece: "a",
    deadlineMs: DEADLINE_MS,
  },
  "chunked bodies": {
    head: OK + CHUNKED,
    piece: CHUNK,
    deadlineMs: DEADLINE_MS,
  },
  "bodies that stop before their last byte": {
    head: `${OK}content-length: ${MAX_BODY_BYTES}\r\n\r\n` +
      "a".repeat(MAX_BODY_BYTES - 1),
    deadlineMs: STALLED_DEADLINE_MS,
  },
  "heads that stop before their last line": {
    head: `${OK}x:${" ".repeat(100_000)}`,
    deadlineMs: STALLED_DEADLINE_MS,
  },
};

// Each answer is within the limit on one response; their sum was not limited.
for (const [name, { head, piece, deadlineMs }] of Object.entries(ANSWERS)) {
  test.serial(`guards against a process that runs out of memory by ${name} of many requests`, async (t) => {
    const headBytes = Buffer.from(head);
    const answerFaulty = (socket: Socket) => {
      socket.write(headBytes);
      if (piece !== undefined) {
        writeRepeatedly(socket, { head, piece }, () => {});
      }
    };
    const faulty = await Promise.all(
      Array.from(
        { length: FAULTY_SERVERS },
        () => startServer(t, answerFaulty),
      ),
    );
    const soundAnswer =
      `${OK}content-length: ${SOUND_BODY.length}\r\n\r\n${SOUND_BODY}`;
    const sound = await startServer(t, (socket) => {
      socket.write(soundAnswer);
    });
    const report = await runInProcess(t, {
      faulty,
      sendsPerServer: SENDS_PER_SERVER,
      sound,
      deadlineMs,
    });
    t.log(JSON.stringify(report));
    t.true(
      report.grownBytes < MAX_GROWN_BYTES,
      `${report.grownBytes} bytes more in use`,
    );
    t.deepEqual(Object.keys(report.sound), ["answered"]);
    t.is(report.faulty["answered"], undefined);
  });
}

// A client with a sum of 1 MiB, of which a server that has stopped takes most.
test("guards against an answer that fails because another one fills the memory", async (t) => {
  let markStopped = () => {};
  const stopped = new Promise<void>((resolve) => markStopped = resolve);
  const faulty = await startServer(t, (socket) => {
    socket.write(`${OK}content-length: ${MAX_BODY_BYTES}\r\n\r\n`);
    socket.write("a".repeat(900_000), () => markStopped());
  });
  const body = "s".repeat(700_000);
  const sound = await startServer(t, (socket) => {
    const length = body.length.toString(16);
    socket.write(`${OK}${CHUNKED}${length}\r\n${body}\r\n0\r\n\r\n`);
  });
  const rejections: AnswerRejection[] = [];
  const client = createBackendClient({
    maxAnswersBytes: 1_024 * 1_024,
    onAnswerRejected: (rejection) => rejections.push(rejection),
  });
  t.teardown(() => client.close());
  const send = (address: string) =>
    client.send({
      address,
      method: "GET",
      path: "/",
      headers: {},
      deadlineMs: DEADLINE_MS,
      requestId: "r1",
    });
  const startedAtMs = performance.now();
  const first = send(faulty);
  await stopped;
  const second = await send(sound);
  t.is(second.type, "answered");
  if (second.type === "answered") {
    t.is(Buffer.from(second.body).toString(), body);
  }
  t.is((await first).type, "incomplete_answer");
  t.true(performance.now() - startedAtMs < DEADLINE_MS);
  t.deepEqual(rejections.map(({ address }) => address), [faulty]);
});
