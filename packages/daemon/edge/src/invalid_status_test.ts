import test from "ava";
import { buildRoute, callEdge, createMemoryStore } from "./edge_fixture.ts";
import { startRawServer } from "./raw_servers_fixture.ts";
import {
  putRouteAndServers,
  startBackends,
  startReadyEdge,
} from "./started_fixture.ts";

/** Status lines of servers in trouble. */
const STATUS_LINES = [
  "HTTP/1.1 000 None",
  "HTTP/1.1 099 Odd",
  "HTTP/1.1 101 Switching Protocols",
  "HTTP/1.1 600 Odd",
  "HTTP/1.1 999 Odd",
  "HTTP/2.0 200 OK",
];

// The caller would take it for an answer.
for (const statusLine of STATUS_LINES) {
  test(`guards against passing on an answer without a valid status line: ${statusLine}`, async (t) => {
    const address = await startRawServer(t, ({ requestId, socket }) => {
      socket.write(
        `${statusLine}\r\ndotterelmoor-request-id: ${requestId}\r\n` +
          "content-length: 2\r\n\r\nok",
      );
    });
    const store = createMemoryStore();
    const [sound] = await startBackends(t, [undefined]);
    putRouteAndServers(
      store,
      [{ ...sound!, address }],
      buildRoute({ repeatable: false }),
    );
    const { settings } = await startReadyEdge(t, store);
    const { status, body } = await callEdge(settings.callers, {
      method: "POST",
    });
    t.is(status, 502);
    t.not(body, "ok");
  });
}
