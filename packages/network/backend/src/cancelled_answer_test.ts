import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import test from "ava";
import { createBackendClient } from "./mod.ts";

const TIMEOUT_MS = 10_000;

// The memory of a cancelled answer is used for others, and a body in chunks has
// no length against which it could be checked.
for (const isComplete of [true, false]) {
  test(`guards against a part of a cancelled answer that counts as the whole, ${isComplete ? "" : "not "}complete when it is cancelled`, async (t) => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        const head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        socket.write(`${head}2\r\nok\r\n${isComplete ? "0\r\n\r\n" : ""}`);
        if (!isComplete) setImmediate(() => socket.end("0\r\n\r\n"));
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const client = createBackendClient();
    t.teardown(() => {
      client.close();
      server.close();
    });
    const controller = new AbortController();
    const result = await client.send({
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      method: "GET",
      path: "/",
      headers: {},
      deadlineMs: TIMEOUT_MS,
      requestId: "r1",
      signal: controller.signal,
      onHead: () => controller.abort(),
    });
    if (result.type === "answered") {
      t.is(Buffer.from(result.body).toString(), "ok");
    } else {
      t.deepEqual(result, { type: "cancelled", sent: true });
    }
  });
}
