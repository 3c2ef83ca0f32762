import test from "ava";
import { sendTo } from "./endless_fixture.ts";
import { MAX_HEAD_BYTES } from "./limits.ts";

const OK = "HTTP/1.1 200 OK\r\n";

test("guards against a whole answer in chunks of one byte that is refused", async (t) => {
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

test("guards against a request id that many header lines push out of sight", async (t) => {
  const { result } = await sendTo(t, {
    head: `${OK}content-length: 2\r\n${"a:b\r\n".repeat(2_000)}` +
      "dotterelmoor-request-id: r0\r\n\r\nok",
    piece: "\r\n",
  });
  t.is(result.type, "incomplete_answer");
});

test("guards against a head near its bound that is refused", async (t) => {
  const { result } = await sendTo(t, {
    head: `${OK}x: ${"a".repeat(MAX_HEAD_BYTES - 100)}\r\n` +
      "content-length: 2\r\n\r\nok",
    piece: "\r\n",
  });
  t.is(result.type, "answered");
});

test("guards against a head beyond its bound that is taken", async (t) => {
  const { result } = await sendTo(t, {
    head: `${OK}x: ${"a".repeat(MAX_HEAD_BYTES)}\r\n` +
      "content-length: 2\r\n\r\nok",
    piece: "\r\n",
  });
  t.is(result.type, "connection_lost");
});
