import test from "ava";
import { sendTo } from "./endless_fixture.ts";
import { MAX_HEAD_BYTES } from "./limits.ts";

const OK = "HTTP/1.1 200 OK\r\n";

test("guards against the rejection of a complete response in chunks of one byte", async (t) => {
  const size = 100_000;
  const { result } = await sendTo(t, {
    head: `${OK}connection: close\r\ntransfer-encoding: chunked\r\n\r\n` +
      `${"1\r\na\r\n".repeat(size)}0\r\n\r\n`,
    piece: "\r\n",
  });
  t.is(result.type, "answered");
  if (result.type !== "answered") return;
  t.is(result.body.length, size);
});

// Node.js ignores header lines beyond a default count.
test("guards against a request id that is ignored after many header lines", async (t) => {
  const { result } = await sendTo(t, {
    head: `${OK}content-length: 2\r\n${"a:b\r\n".repeat(2_000)}` +
      "dotterelmoor-request-id: r0\r\n\r\nok",
    piece: "\r\n",
  });
  t.is(result.type, "incomplete_answer");
});

test("guards against the rejection of a head just below its limit", async (t) => {
  const { result } = await sendTo(t, {
    head: `${OK}x: ${"a".repeat(MAX_HEAD_BYTES - 100)}\r\n` +
      "content-length: 2\r\n\r\nok",
    piece: "\r\n",
  });
  t.is(result.type, "answered");
});

test("guards against a head above its limit that is accepted", async (t) => {
  const { result } = await sendTo(t, {
    head: `${OK}x: ${"a".repeat(MAX_HEAD_BYTES)}\r\n` +
      "content-length: 2\r\n\r\nok",
    piece: "\r\n",
  });
  t.is(result.type, "connection_lost");
});
