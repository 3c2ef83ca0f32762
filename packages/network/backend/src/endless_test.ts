import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import test from "ava";
import {
  DEADLINE_MS,
  MAX_ANSWER_BYTES,
  PROTOCOL,
  READ_BYTES,
  sendTo,
  SOCKET_BUFFER_BYTES,
  writeRepeatedly,
} from "./endless_fixture.ts";
import type { EndlessAnswer } from "./endless_fixture.ts";
import { FRAMING_RATIO, MAX_FRAMING_BYTES } from "./limits.ts";
import { createBackendClient } from "./mod.ts";
import type { BackendResult } from "./mod.ts";

type Cases = Readonly<Record<string, EndlessAnswer>>;

/** Registers a test for each endless response: it must end with the given
 * result before the deadline and within the given number of bytes. */
function registerTests(
  cases: Cases,
  type: BackendResult["type"],
  maxReadBytes: number,
): void {
  for (const [name, answer] of Object.entries(cases)) {
    test(`guards against ${name} without end`, async (t) => {
      const { result, elapsedMs, writtenBytes } = await sendTo(t, answer);
      t.is(result.type, type);
      t.true(elapsedMs < DEADLINE_MS);
      t.true(
        writtenBytes <= maxReadBytes + SOCKET_BUFFER_BYTES,
        `The server wrote ${writtenBytes} bytes`,
      );
    });
  }
}

// A response without the id of its request would end its connection anyway.
const ID = "dotterelmoor-request-id: r1\r\n";
const OK = `HTTP/1.1 200 OK\r\n${ID}`;
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";
const NOT_RUN = `HTTP/1.1 503 Busy\r\n${ID}dotterelmoor-not-run: true\r\n`;

/** Largest number of bytes read of a response without a body. */
const FRAMING_BOUND = MAX_FRAMING_BYTES + 2 * READ_BYTES;

/** Largest number of bytes read of a response whose body is too large. */
const BODY_BOUND = MAX_ANSWER_BYTES + 2 * READ_BYTES;

registerTests(
  {
    "bytes that are not HTTP": { head: "", piece: "not HTTP" },
    "zero bytes": { head: "", piece: "\0" },
    "a reason phrase": { head: "HTTP/1.1 200 ", piece: "a" },
    "a header line": { head: `${OK}x: `, piece: "a" },
    "header lines": { head: OK, piece: "x: a\r\n" },
    "protocol switches": {
      head: "",
      piece: "HTTP/1.1 101 S\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
    },
  },
  "connection_lost",
  2 * READ_BYTES,
);

registerTests(
  {
    "protocol switches with a length": {
      head: "",
      piece: "HTTP/1.1 101 S\r\ncontent-length: 0\r\n\r\n",
    },
    "a body without a length": {
      head: `${OK}connection: close\r\n\r\n`,
      piece: "a",
    },
    "large chunks": {
      head: OK + CHUNKED,
      piece: `10000\r\n${"a".repeat(65_536)}\r\n`,
    },
    "one chunk": { head: `${OK}${CHUNKED}ffffffffff\r\n`, piece: "a" },
    "a chunk extension": { head: `${OK}${CHUNKED}1;`, piece: "a" },
    "trailer lines": {
      head: `${OK}${CHUNKED}1\r\na\r\n0\r\n`,
      piece: "x: a\r\n",
    },
    "a trailer line": { head: `${OK}${CHUNKED}1\r\na\r\n0\r\nx: `, piece: "a" },
    "a redirect's body": {
      head: "HTTP/1.1 302 Found\r\nlocation: /x\r\n\r\n",
      piece: "a",
    },
    "a failure's body": { head: "HTTP/1.1 500 Failed\r\n\r\n", piece: "a" },
    "the response to another request": {
      head: `${OK}dotterelmoor-request-id: r0\r\n\r\n`,
      piece: "a",
    },
    "a refusal without a length": { head: `${NOT_RUN}\r\n`, piece: "a" },
    "a refusal in chunks": {
      head: NOT_RUN + CHUNKED,
      piece: `400\r\n${"a".repeat(1_024)}\r\n`,
    },
    "a refusal with a large length": {
      head: `${NOT_RUN}content-length: 99999999999\r\n\r\n`,
      piece: "a",
    },
  },
  "incomplete_answer",
  BODY_BOUND,
);

// Node.js's parser does not bound these, and they add nothing to the body.
registerTests(
  {
    "line breaks before a response": { head: "", piece: "\r\n" },
    "interim answers": { head: "", piece: "HTTP/1.1 100 Continue\r\n\r\n" },
    "interim answers with headers": {
      head: "",
      piece: "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
    },
    "spaces in a header": { head: `${OK}x:`, piece: " " },
    "spaces in a trailer": {
      head: `${OK}${CHUNKED}1\r\na\r\n0\r\nx:`,
      piece: " ",
    },
    "zeros in a chunk's length": { head: OK + CHUNKED, piece: "0" },
  },
  "incomplete_answer",
  FRAMING_BOUND,
);

registerTests(
  {
    "chunk extensions": {
      head: OK + CHUNKED,
      piece: `1;${"e".repeat(10_000)}\r\na\r\n`,
    },
    "chunks of one byte": { head: OK + CHUNKED, piece: "1\r\na\r\n" },
    "a refusal in chunks of one byte": {
      head: NOT_RUN + CHUNKED,
      piece: "1\r\na\r\n",
    },
  },
  "incomplete_answer",
  FRAMING_BOUND + FRAMING_RATIO * MAX_ANSWER_BYTES,
);

// The response is complete and counts, but its connection is not reused.
registerTests(
  {
    "bytes after a body": {
      head: `${OK}content-length: 2\r\n\r\nok`,
      piece: "a",
    },
    "line breaks after a body": {
      head: `${OK}content-length: 2\r\n\r\nok`,
      piece: "\r\n",
    },
    "bytes after the last response of a connection": {
      head: `${OK}connection: close\r\ncontent-length: 2\r\n\r\nok`,
      piece: "a",
    },
    "further responses": {
      head: "",
      piece: `${OK}content-length: 2\r\n\r\nok`,
    },
    "bytes after status 204": {
      head: `HTTP/1.1 204 No\r\n${ID}\r\n`,
      piece: "a",
    },
    "bytes after status 304": {
      head: `HTTP/1.1 304 No\r\n${ID}content-length: 2\r\n\r\n`,
      piece: "a",
    },
    "bytes after the response to HEAD": {
      head: `${OK}content-length: 2\r\n\r\n`,
      piece: "a",
      method: "HEAD",
    },
  },
  "answered",
  2 * READ_BYTES,
);

test("guards against bytes after a body that become part of it", async (t) => {
  const { result } = await sendTo(t, {
    head: `${OK}content-length: 2\r\n\r\nok`,
    piece: "a",
  });
  t.is(result.type, "answered");
  if (result.type !== "answered") return;
  t.is(Buffer.from(result.body).toString(), "ok");
});

test("guards against bytes on an idle connection that are read as the next response", async (t) => {
  const closed: Promise<void>[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => {});
    closed.push(
      new Promise((resolve) => socket.once("close", () => resolve())),
    );
    socket.once("data", () => {
      const id = `dotterelmoor-request-id: r${unsolicited.length}\r\n`;
      const head = `HTTP/1.1 200 OK\r\n${id}content-length: 2\r\n\r\n`;
      socket.write(`${head}ok`);
      // Called by the test once the client has the response.
      unsolicited.push(() =>
        writeRepeatedly(socket, { head: "", piece: "\r\n" }, () => {})
      );
    });
  });
  const unsolicited: (() => void)[] = [];
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const client = createBackendClient({ protocol: PROTOCOL });
  t.teardown(() => {
    client.close();
    server.close();
  });
  for (let index = 0; index < 2; index++) {
    const result = await client.send({
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      method: "GET",
      path: "/",
      headers: {},
      deadlineMs: DEADLINE_MS,
      requestId: `r${index}`,
    });
    t.is(result.type, "answered");
    unsolicited[index]!();
    await closed[index];
  }
});

const SLOW_ANSWERS: Cases = {
  "a head": { head: `${OK}x: `, piece: "a" },
  "line breaks": { head: "", piece: "\r\n" },
  "interim answers": { head: "", piece: "HTTP/1.1 102 Processing\r\n\r\n" },
  "a body": { head: `${OK}content-length: 99999\r\n\r\n`, piece: "a" },
  "a body in chunks": { head: OK + CHUNKED, piece: "1\r\na\r\n" },
  "a refusal": { head: NOT_RUN + CHUNKED, piece: "1\r\na\r\n" },
};

for (const [name, answer] of Object.entries(SLOW_ANSWERS)) {
  test(`guards against ${name} sent slowly beyond the deadline`, async (t) => {
    const deadlineMs = 300;
    const { result, elapsedMs } = await sendTo(t, {
      ...answer,
      pauseMs: 10,
      deadlineMs,
    });
    t.is(result.type, "timed_out");
    t.true(elapsedMs < deadlineMs + 5_000);
  });
}
