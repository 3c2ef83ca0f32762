import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { createRequester } from "./requester.ts";

const TIMEOUT_MS = 500;
/** Time in milliseconds by which the process is busy beyond the timeout. */
const BUSY_MS = 50;

// The timer of the call is due before the answer in the socket is read.
test("guards against an answer of the platform that is dropped because its process was busy", async (t) => {
  const endAtMs = performance.now() + TIMEOUT_MS + BUSY_MS;
  const server = createServer((_request, response) => {
    response.end("{}");
    setImmediate(() => {
      while (performance.now() < endAtMs);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const requester = createRequester({
    url: `http://127.0.0.1:${port}`,
    timeoutMs: TIMEOUT_MS,
  });
  t.teardown(() => {
    requester.close();
    server.closeAllConnections();
    server.close();
  });
  const answer = await requester.request("GET", "instances");
  t.is(answer?.status, 200);
});
