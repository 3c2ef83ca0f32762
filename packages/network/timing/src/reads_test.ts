import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import test from "ava";
import { waitForSocketReads } from "./mod.ts";

// The event loop reads the end of a connection in a later turn than its last
// bytes.
test.serial("guards against a wait that ends before the end of a connection is read", async (t) => {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  const [socket] = await once(server, "connection") as [Socket];
  const data = once(socket, "data");
  caller.end("request");
  // The bytes and the end arrive before the first turn that reads them.
  const startedAtMs = performance.now();
  while (performance.now() < startedAtMs + 50);
  await data;
  await waitForSocketReads();
  t.true(socket.readableEnded);
});

test.serial("guards against a wait that is shorter than requested", async (t) => {
  const startedAtMs = performance.now();
  await waitForSocketReads(5);
  // Four turns of at least 5 ms; timers may round down.
  t.true(performance.now() - startedAtMs >= 16);
});
