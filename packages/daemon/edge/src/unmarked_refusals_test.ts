import test from "ava";
import { buildRoute, callEdge, createMemoryStore } from "./edge_fixture.ts";
import {
  putRouteAndServers,
  startBackends,
  startReadyEdge,
} from "./started_fixture.ts";

/** Statuses that promise that the request was not run. */
const PROMISES = [408, 421, 429, 503];

// Only the server's own header says that it did not run the request.
for (const repeatable of [false, true]) {
  for (const promised of PROMISES) {
    test(`guards against passing on a promise that the server did not make, status ${promised}, repeatable ${repeatable}`, async (t) => {
      const [backend] = await startBackends(t, [(_request, response) => {
        response.writeHead(promised, { "retry-after": "1" });
        response.end("ran");
      }]);
      const store = createMemoryStore();
      putRouteAndServers(store, [backend!], buildRoute({ repeatable }));
      const { settings } = await startReadyEdge(t, store);
      const { status, headers } = await callEdge(settings.callers, {
        method: "POST",
      });
      t.is(backend!.requests.length, 1);
      t.is(status, 502);
      t.is(headers["retry-after"], undefined);
    });
  }
}

test("guards against hiding a server's own failure", async (t) => {
  const [backend] = await startBackends(t, [(_request, response) => {
    response.writeHead(500);
    response.end("failed");
  }]);
  const store = createMemoryStore();
  putRouteAndServers(store, [backend!], buildRoute({ repeatable: false }));
  const { settings } = await startReadyEdge(t, store);
  const { status, body } = await callEdge(settings.callers, { method: "POST" });
  t.is(status, 500);
  t.is(body, "failed");
});
