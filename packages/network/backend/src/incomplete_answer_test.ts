import test from "ava";
import { buildResponse, startRawClient } from "./raw_client_fixture.ts";

// The connection is closed, but a request that waits for it could be written
// before that.
test("guards against a request that is given the connection of an answer that does not count", async (t) => {
  const { send, sockets } = await startRawClient(t, {
    maxConnectionsPerServer: 1,
    onHead: (socket, id) => {
      const invalid = { status: 204, headers: ["content-length: 5"] };
      const response = buildResponse(id, id === "r1" ? invalid : {});
      setTimeout(() => socket.write(response), 20);
    },
  });
  const results = await Promise.all([send("r1"), send("r2")]);
  t.deepEqual(results.map(({ type }) => type), [
    "incomplete_answer",
    "answered",
  ]);
  t.is(sockets.length, 2);
});
