import { once } from "node:events";
import test from "ava";
import { buildResponse, startRawClient } from "./raw_client_fixture.ts";

// The server closes the connection after 2 s; a request that it is sent at that
// time may be lost.
test("guards against an idle time that a server's first answer does not limit", async (t) => {
  const { send, sockets } = await startRawClient(t, {
    idleMs: 9_000,
    onHead: (socket, id) => {
      const headers = ["keep-alive: timeout=2", "content-length: 0"];
      socket.write(buildResponse(id, { headers }));
    },
  });
  t.is((await send("r1")).type, "answered");
  const idleAtMs = performance.now();
  await once(sockets[0]!, "close");
  const idleMs = performance.now() - idleAtMs;
  t.log({ idleMs });
  t.true(idleMs < 4_500);
});
