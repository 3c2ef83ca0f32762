import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import test from "ava";
import { createBackendClient } from "./mod.ts";

const MAX_ANSWER_BYTES = 256 * 1_024;

/** Live bytes allowed beyond those before the send: the body while its block
 * grows, one read, and what the test itself keeps. A separate object for each
 * byte of the body takes some 190 bytes, 48 MiB in all. */
const MAX_LIVE_BYTES = 16 * 1_024 * 1_024;

setFlagsFromString("--expose-gc");
const collectGarbage: () => void = runInNewContext("gc");

/** Heap and buffers that are in use. */
function measureLiveBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Writes chunks of one byte until the connection is closed. */
function writeChunks(socket: Socket, onWritten: () => void): void {
  const bytes = Buffer.from("1\r\na\r\n".repeat(10_000));
  const write = () => {
    socket.write(bytes, (error) => {
      if (error) return;
      onWritten();
      setImmediate(write);
    });
  };
  write();
}

// The only test of its process, as others would change what it measures.
test("guards against a body in small chunks that takes many times its size", async (t) => {
  let peakBytes = 0;
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
      writeChunks(socket, () => {
        peakBytes = Math.max(peakBytes, measureLiveBytes());
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const client = createBackendClient({ maxAnswerBytes: MAX_ANSWER_BYTES });
  t.teardown(() => {
    client.close();
    server.close();
  });
  const startBytes = measureLiveBytes();
  const result = await client.send({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    method: "GET",
    path: "/",
    headers: {},
    deadlineMs: 60_000,
    requestId: "r1",
  });
  t.is(result.type, "incomplete_answer");
  const grownBytes = peakBytes - startBytes;
  t.true(grownBytes < MAX_LIVE_BYTES, `${grownBytes} bytes were held`);
});
