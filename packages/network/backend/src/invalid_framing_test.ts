import test from "ava";
import { DEFAULT_PROTOCOL } from "./mod.ts";
import { buildResponse, startRawClient } from "./raw_client_fixture.ts";

const PROTOCOL = { ...DEFAULT_PROTOCOL, acceptsCloseDelimited: true };

const DEADLINE_MS = 300;

/** Time in milliseconds after the deadline by which a send must have ended. */
const SLACK_MS = 500;

const CHUNKED = "transfer-encoding: chunked";

/** Header lines of answers whose end can't be told, or whose body is coded. */
const INVALID: Readonly<Record<string, readonly string[]>> = {
  "a doubled line": [CHUNKED, CHUNKED],
  "a doubled value": ["transfer-encoding: chunked, chunked"],
  "a coding before the chunks": ["transfer-encoding: gzip, chunked"],
  "a coding on a line of its own": ["transfer-encoding: gzip", CHUNKED],
  "a coding behind the chunks": ["transfer-encoding: chunked, gzip"],
  "a coding without chunks": ["transfer-encoding: gzip"],
  "no coding by name": ["transfer-encoding: identity"],
  "no coding": ["transfer-encoding:"],
  "chunks and a length": [CHUNKED, "content-length: 2"],
  "a length and chunks": ["content-length: 2", CHUNKED],
  "two lengths": ["content-length: 2", "content-length: 2"],
  "two different lengths": ["content-length: 2", "content-length: 3"],
  "a list of lengths": ["content-length: 2, 2"],
  "a signed length": ["content-length: +2"],
  "no length": ["content-length:"],
};

const BODY = "2\r\nok\r\n0\r\n\r\n";

// The parser ended such an answer, or did not, while its reader waited for the
// other; the request was held past its deadline, on a connection in use again.
for (const [name, headers] of Object.entries(INVALID)) {
  test(`guards against an answer without a valid end that holds its request or its connection: ${name}`, async (t) => {
    const { send, sockets } = await startRawClient(t, {
      protocol: PROTOCOL,
      maxConnectionsPerServer: 1,
      onHead: (socket, id) => {
        const isSound = id !== "r1";
        const head = buildResponse(id, isSound ? {} : { headers });
        socket.write(isSound ? head : head + BODY);
      },
    });
    const startedAtMs = performance.now();
    const { type } = await send("r1", { deadlineMs: DEADLINE_MS });
    t.true(performance.now() - startedAtMs < DEADLINE_MS + SLACK_MS);
    t.true(["incomplete_answer", "connection_lost"].includes(type), type);
    t.is((await send("r2")).type, "answered");
    t.is(sockets.length, 2);
  });
}

/** Header lines of answers with a body in chunks, in forms that are valid. */
const VALID: Readonly<Record<string, readonly string[]>> = {
  "upper case": ["Transfer-Encoding: CHUNKED"],
  "spaces": ["transfer-encoding: \t chunked  "],
};

for (const [name, headers] of Object.entries(VALID)) {
  test(`guards against the rejection of an answer in chunks: ${name}`, async (t) => {
    const { send, sockets } = await startRawClient(t, {
      protocol: PROTOCOL,
      onHead: (socket, id) =>
        socket.write(buildResponse(id, { headers }) + BODY),
    });
    for (const id of ["r1", "r2"]) {
      const result = await send(id);
      if (result.type !== "answered") return t.fail(result.type);
      t.is(Buffer.from(result.body).toString(), "ok");
    }
    t.is(sockets.length, 1);
  });
}

// The parser does not take the coding for chunks, and passed them on as the body.
for (const headers of [[], ["connection: close"]]) {
  test(`guards against chunks in the place of a body, with a tab behind their name, headers ${headers.length}`, async (t) => {
    const { send } = await startRawClient(t, {
      protocol: PROTOCOL,
      onHead: (socket, id) => {
        const lines = [`${CHUNKED}\t`, ...headers];
        socket.end(buildResponse(id, { headers: lines }) + BODY);
      },
    });
    t.is((await send("r1")).type, "incomplete_answer");
  });
}

// The end comes with the last chunk, or before the reader gets to it.
test("guards against the rejection of an answer in chunks whose connection ends", async (t) => {
  const { send } = await startRawClient(t, {
    protocol: PROTOCOL,
    onHead: (socket, id) => {
      const lines = [CHUNKED, "connection: close"];
      socket.end(buildResponse(id, { headers: lines }) + BODY);
    },
  });
  for (let count = 0; count < 20; count++) {
    t.is((await send(`r${count}`)).type, "answered");
  }
});
