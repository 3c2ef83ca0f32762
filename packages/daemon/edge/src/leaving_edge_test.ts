import test from "ava";
import {
  buildRoute,
  callEdge,
  createMemoryStore,
  TEST_BOUNDS,
} from "./edge_fixture.ts";
import {
  putRouteAndServers,
  startBackends,
  startReadyEdge,
} from "./started_fixture.ts";

/** Time in milliseconds that callers and the route allow; longer than the grace
 * period. */
const LONG_MS = 10_000;
const GRACE_MS = 2_000;

/** Starts an edge with one server, which never answers; `sent` resolves when it
 * gets a request. */
async function startSilentEdge(t: Parameters<typeof startReadyEdge>[0]) {
  const store = createMemoryStore();
  let markSent = (_: string) => {};
  const sent = new Promise<string>((resolve) => markSent = resolve);
  const [backend] = await startBackends(t, [() => markSent("sent")]);
  const route = buildRoute({ repeatable: false, timeoutMs: LONG_MS });
  putRouteAndServers(store, [backend!], route);
  const bounds = { ...TEST_BOUNDS, graceMs: GRACE_MS };
  const { settings, leave } = await startReadyEdge(t, store, { bounds });
  const call = () =>
    callEdge(settings.callers, {
      method: "POST",
      headers: { "dotterelmoor-deadline-ms": String(LONG_MS) },
    });
  return { backend: backend!, call, leave, sent };
}

// It may not be sent again once it was cut, as a server may have run it.
test("guards against a request that is sent to a server during the shutdown and cut at its end", async (t) => {
  const { backend, call, leave } = await startSilentEdge(t);
  const left = leave();
  const answer = await call();
  t.like(answer, { status: 503, body: "leaving\n" });
  t.deepEqual(backend.requests, []);
  await left;
});
