import test from "ava";
import type { ExecutionContext } from "ava";
import {
  buildDocument,
  buildRoute,
  buildServer,
  callEdge,
  createMemoryStore,
  TEST_BOUNDS,
} from "./edge_fixture.ts";
import type { MemoryStore } from "./edge_fixture.ts";
import { startBackends, startReadyEdge, waitUntil } from "./started_fixture.ts";

async function startStore(t: ExecutionContext): Promise<MemoryStore> {
  const store = createMemoryStore();
  const [backend] = await startBackends(t, [undefined]);
  const document = buildDocument(1, [
    buildRoute({ name: "bound", prefix: "/bound/", allowedRegions: ["a"] }),
    buildRoute({ name: "free", prefix: "/free/" }),
  ]);
  store.put("orders", "config", { type: "document", document });
  const record = buildServer("s0", backend!.address);
  store.put("servers", record.id, { type: "server", record });
  return store;
}

// An isolated entry cannot learn that a route's regions have changed.
test("guards against sends by outdated regions at an entry without contact", async (t) => {
  const store = await startStore(t);
  const { settings } = await startReadyEdge(t, store);
  const call = async (path: string) =>
    await callEdge(settings.callers, { path });
  t.is((await call("/bound/x")).status, 200);
  store.setDown(true);
  const isRefused = async () => (await call("/bound/x")).status === 503;
  await waitUntil(t, isRefused);
  const refusal = await call("/bound/x");
  t.is(refusal.body, "configuration-unconfirmed\n");
  t.truthy(refusal.headers["retry-after"]);
  t.is((await call("/free/x")).status, 200);
  store.setDown(false);
  await waitUntil(t, async () => (await call("/bound/x")).status === 200);
});

// Live entries in every region show that the store is down for all. Refusing
// requests of region-bound routes would then fail callers for seconds.
test("guards against refusing region-bound routes during an outage of the store while peers answer", async (t) => {
  const store = await startStore(t);
  // A region without entries would count as lost some seconds after a start.
  const zones = { "a-1": "a" };
  const first = await startReadyEdge(t, store, { instance: "n1", zones });
  const seeds = [`127.0.0.1:${first.settings.peers.port}`];
  const second = await startReadyEdge(t, store, {
    instance: "n2",
    seeds,
    zones,
  });
  // Both know each other once one of them reads the store for both.
  await waitUntil(t, async () => {
    const before = store.countCalls("n2");
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    return store.countCalls("n2") === before || store.countCalls("n1") === 0;
  });
  store.setDown(true);
  const endAtMs = performance.now() + 3 * TEST_BOUNDS.configurationApplyMs;
  while (performance.now() < endAtMs) {
    for (const { settings } of [first, second]) {
      const answer = await callEdge(settings.callers, { path: "/bound/x" });
      // The body holds the reason of a refusal.
      t.is(answer.status, 200, answer.body);
    }
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
});
