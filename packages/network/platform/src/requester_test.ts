import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { createRequester } from "./requester.ts";

const TIMEOUT_MS = 500;
/** Time for which the event loop is blocked beyond the timeout. */
const BUSY_MS = 50;

// The call's timer expires while the response is in the socket but not yet read.
test("guards against a response that is dropped because the client's event loop was busy", async (t) => {
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
  const response = await requester.request("GET", "instances");
  t.is(response?.status, 200);
});
