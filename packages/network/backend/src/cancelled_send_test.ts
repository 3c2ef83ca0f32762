import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { createBackendClient } from "./mod.ts";

// The connection is idle, so that the request is written in the same turn of
// the event loop in which it is cancelled.
test("guards against a request that is sent although it was cancelled before", async (t) => {
  const paths: (string | undefined)[] = [];
  const server = createServer((request, response) => {
    paths.push(request.url);
    const id = request.headers["dotterelmoor-request-id"];
    response.setHeader("dotterelmoor-request-id", String(id));
    response.end("whole");
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const client = createBackendClient();
  t.teardown(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const cancel = new AbortController();
  const send = (path: string, signal?: AbortSignal) =>
    client.send({
      address: `127.0.0.1:${port}`,
      method: "GET",
      path,
      headers: {},
      deadlineMs: 2_000,
      requestId: path,
      signal,
    });
  await send("/first");
  const result = send("/cancelled", cancel.signal);
  cancel.abort();
  t.deepEqual(await result, { type: "cancelled", sent: false });
  await send("/last");
  t.deepEqual(paths, ["/first", "/last"]);
});
