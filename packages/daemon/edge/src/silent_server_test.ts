import test from "ava";
import { buildRoute, callEdge, createMemoryStore } from "./edge_fixture.ts";
import {
  putRouteAndServers,
  startBackends,
  startReadyEdge,
  waitUntil,
} from "./started_fixture.ts";

const RUN_MS = 1_500;

// The record of a server that reports late expires, but the server still runs
// its requests.
for (const repeatable of [false, true]) {
  test(`guards against a run that is abandoned or repeated when its server's record expires, repeatable ${repeatable}`, async (t) => {
    const store = createMemoryStore();
    const backends = await startBackends(
      t,
      [0, 1].map(() => (_, response) => {
        setTimeout(() => response.end("whole"), RUN_MS);
      }),
    );
    // The answer is expected well after the record expires.
    const route = buildRoute({
      repeatable,
      timeoutMs: 8_000,
      targetLatencyMs: 6_000,
    });
    putRouteAndServers(store, backends, route);
    const { settings } = await startReadyEdge(t, store);
    const answer = callEdge(settings.callers, {
      headers: { "dotterelmoor-deadline-ms": "8000" },
    });
    const countRuns = () => backends.flatMap(({ requests }) => requests).length;
    await waitUntil(t, () => Promise.resolve(countRuns() === 1));
    for (const id of ["s0", "s1"]) {
      store.drop("servers", id, { type: "server_removed", id });
    }
    const { status, body } = await answer;
    t.is(status, 200);
    t.is(body, "whole");
    t.is(countRuns(), 1);
  });
}
