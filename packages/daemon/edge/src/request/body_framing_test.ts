import { once } from "node:events";
import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import test from "ava";
import { BodyReader } from "./body.ts";
import type { BodyResult } from "./body.ts";

const BODY = "slot=4&station=7";
const LIMITS = {
  maxBytes: 1_000,
  deadlineAtMs: Infinity,
  signal: new AbortController().signal,
};

const FORMS: Readonly<Record<string, string>> = {
  length: `content-length: ${BODY.length}\r\n\r\n${BODY}`,
  chunks: "transfer-encoding: chunked\r\n\r\n" +
    `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
};

// The parser frames a body by its own reading of the head. A reader that went by
// the headers that it was given took the body for empty without them.
for (const [form, sent] of Object.entries(FORMS)) {
  test(`guards against a body that is lost with its framing header, sent with ${form}`, async (t) => {
    const bodies = new BodyReader();
    const results: Promise<BodyResult>[] = [];
    const server = createServer((request, response) => {
      t.deepEqual(Object.keys(request.headers), ["host"]);
      const result = bodies.read(request, LIMITS);
      results.push(result);
      void result.then(() => response.end());
    });
    server.maxHeadersCount = 1;
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => server.close());
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    t.teardown(() => socket.destroy());
    socket.write(`POST / HTTP/1.1\r\nhost: x\r\n${sent}`);
    await once(socket, "data");
    const result = await results[0]!;
    if (result.type !== "body") return t.fail(result.type);
    const parts = result.bytes instanceof Uint8Array
      ? [result.bytes]
      : result.bytes;
    t.is(Buffer.concat(parts).toString(), BODY);
  });
}
