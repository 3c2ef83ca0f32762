import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import test from "ava";
import { createBackendClient } from "./mod.ts";

const MAX_ANSWER_BYTES = 256 * 1_024;

/** Allowed growth of the live memory during the send: the body while its block
 * grows, one read, and the objects of the test. With a separate object for each
 * byte of the body, at about 190 bytes each, it would be 48 MiB. */
const MAX_LIVE_BYTES = 16 * 1_024 * 1_024;

setFlagsFromString("--expose-gc");
const collectGarbage: () => void = runInNewContext("gc");

/** Measures the heap and the buffers that are in use after a collection. */
function measureLiveBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Writes chunks of one byte until the connection closes. */
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

// Runs alone in its process because other tests would affect the measurement.
test("guards against a chunked body that takes many times its size in memory", async (t) => {
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
  t.true(grownBytes < MAX_LIVE_BYTES, `${grownBytes} bytes more in use`);
});
