import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import {
  buildDocument,
  buildRoute,
  buildServer,
  callEdge,
  createMemoryStore,
} from "./edge_fixture.ts";
import { buildRawAnswer, startRawServer } from "./raw_servers_fixture.ts";
import type { RawRequest } from "./raw_servers_fixture.ts";
import { startReadyEdge } from "./started_fixture.ts";

// The entry writes its own answers to callers only, none of Node.js's.
test("guards against an entry that answers a running request with the status of what follows it", async (t) => {
  const store = createMemoryStore();
  const document = buildDocument(1, [buildRoute({ repeatable: false })]);
  store.put("orders", "config", { type: "document", document });
  const held: RawRequest[] = [];
  const address = await startRawServer(t, (request) => {
    const { requestId, socket } = request;
    if (requestId === "q1") held.push(request);
    else socket.write(buildRawAnswer(requestId, "length"));
  });
  const record = buildServer("s1", address);
  store.put("servers", record.id, { type: "server", record });
  const { settings: { callers } } = await startReadyEdge(t, store);
  const socket = connect(callers);
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  socket.write(
    "GET /a/x HTTP/1.1\r\nhost: desk.example\r\n" +
      "dotterelmoor-request-id: q1\r\n\r\n\0\0\0\r\n\r\n",
  );
  const closed = once(socket, "close");
  // Another request is read and answered after the bytes of the first one.
  t.is((await callEdge(callers, { id: "q2" })).status, 200);
  held[0]?.socket.write(buildRawAnswer("q1", "length"));
  await closed;
  t.deepEqual(received.match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 200"]);
  t.regex(received, /connection: close[^]*answer to q1$/i);
  t.is(held.length, 1);
});
