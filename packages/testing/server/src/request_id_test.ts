import test from "ava";
import { createBackendClient } from "@dotterelmoor/network.backend";
import { startServer } from "./server.ts";

// The client closes a connection after a response without an id.
test("guards against a simulated server whose answers and refusals repeat no ids", async (t) => {
  const server = await startServer({ serviceMs: 1 });
  const client = createBackendClient();
  t.teardown(async () => {
    client.close();
    await server.close();
  });
  const send = (requestId: string) =>
    client.send({
      address: server.address,
      method: "POST",
      path: "/holds",
      headers: {},
      deadlineMs: 5_000,
      requestId,
    });
  t.like(await send("a"), {
    type: "answered",
    headers: { "dotterelmoor-request-id": "a" },
  });
  server.setFaults({ draining: true });
  for (const id of ["b", "c"]) {
    t.deepEqual(await send(id), { type: "refused", draining: true });
  }
  t.is(server.readCounters().connections, 1);
});
