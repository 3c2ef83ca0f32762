import test from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import type { CatalogChange } from "@dotterelmoor/core.catalog";
import type { CatalogSource } from "@dotterelmoor/core.refreshing";
import { DisposableStore } from "@dotterelmoor/core.types";
import type { CatalogMessage } from "@dotterelmoor/network.peering";
import { pino } from "pino";
import {
  buildDocument,
  buildRoute,
  buildServer,
  createMemoryStore,
} from "../edge_fixture.ts";
import { startCatalogWatch } from "./catalog_watch.ts";
import { createEdgeMetrics } from "./metrics.ts";

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

// Its own read makes its catalog younger than the reader's, so it could take
// the reader's answers for outdated and keep reading the store too.
test("guards against an entry that keeps reading because its catalog is a little younger than the reader's", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const memory = createMemoryStore();
  const document = buildDocument(1, [buildRoute()]);
  memory.put("orders", "config", { type: "document", document });
  const members = ["p2"];
  const answer: CatalogMessage = {
    type: "catalog",
    delta: {
      servers: { version: 1, isComplete: false, changes: [] },
      orders: { version: 1, isComplete: false, changes: [] },
    },
    // The age just before the reader's next read.
    ageMs: 1_200,
  };
  const watch = startCatalogWatch({
    processId: "p2",
    catalog: createCatalog({ zones: {} }),
    source: memory.createClient("p2"),
    store,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "silent" }),
    onChanged: () => {},
    listRegion: () => [...members].sort(),
    joinMs: 0,
    isContact: () => true,
    pull: () => Promise.resolve(answer),
  });
  while (!watch.isLoaded) await wait(20);
  // Another entry of the region, first in the order, joins and reads.
  members.push("p1");
  await wait(1_000);
  t.false(watch.isReading);
  const calls = memory.countCalls("p2");
  await wait(2_500);
  t.false(watch.isReading);
  t.is(memory.countCalls("p2"), calls);
});

// Most entries have not received a change that has just been announced, so a
// pull from a random entry can delay it by as many rounds as there are entries.
test("guards against a new configuration that is pulled from an entry other than its announcer", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const memory = createMemoryStore();
  memory.setDown(true);
  const asked: CatalogSource[] = [];
  const watch = startCatalogWatch({
    processId: "p2",
    catalog: createCatalog({ zones: {} }),
    source: memory.createClient("p2"),
    store,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "silent" }),
    onChanged: () => {},
    listRegion: () => ["p1", "p2"],
    joinMs: 0,
    isContact: () => true,
    pull: (source) => {
      asked.push(source);
      return Promise.resolve(undefined);
    },
  });
  watch.pullNow("10.0.0.9:7620");
  while (asked.length < 2) await wait(5);
  const announcer = { type: "address", peerAddress: "10.0.0.9:7620" };
  t.deepEqual(asked.find(({ type }) => type !== "process"), announcer);
});

// Records of live servers expire while the store is unreachable, and are
// renewed within two seconds of its recovery. Entries take turns reading in the
// outage, so a new reader has not seen all of it.
test("guards against live servers that are dropped after an outage in which the reader changed", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const memory = createMemoryStore();
  const document = buildDocument(1, [buildRoute()]);
  memory.put("orders", "config", { type: "document", document });
  const record = buildServer("s1", "127.0.0.1:9");
  memory.put("servers", "s1", { type: "server", record });
  const catalog = createCatalog({ zones: { "a-1": "a" } });
  const members = ["p2"];
  let downSinceMs = Infinity;
  const watch = startCatalogWatch({
    processId: "p2",
    catalog,
    source: memory.createClient("p2"),
    store,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "silent" }),
    onChanged: () => {},
    listRegion: () => [...members].sort(),
    joinMs: 0,
    isContact: () => true,
    pull: () =>
      Promise.resolve({
        type: "catalog",
        delta: {
          servers: { version: 1, isComplete: false, changes: [] },
          orders: { version: 1, isComplete: false, changes: [] },
        },
        ageMs: Math.max(0, performance.now() - downSinceMs),
      }),
  });
  while (!watch.isLoaded) await wait(20);
  // Another entry, first in the order, reads until the outage.
  members.push("p1");
  while (watch.isReading) await wait(20);
  downSinceMs = performance.now();
  memory.setDown(true);
  await wait(6_000);
  while (watch.isReading) await wait(20);
  memory.drop("servers", "s1", { type: "server_removed", id: "s1" });
  memory.setDown(false);
  const before = catalog.position.servers;
  while (catalog.position.servers === before) await wait(5);
  t.is(catalog.findServers("desk", performance.now()).length, 1);
  await wait(2_500);
  t.is(catalog.findServers("desk", performance.now()).length, 0);
});

// An answer describes the moment at which it was made, which may be just after
// the request was sent.
test("guards against a late answer that counts as current when it arrives", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const memory = createMemoryStore();
  memory.setDown(true);
  let youngestMs = Infinity;
  const watch = startCatalogWatch({
    processId: "p2",
    catalog: createCatalog({ zones: {} }),
    source: memory.createClient("p2"),
    store,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "silent" }),
    onChanged: () => {
      youngestMs = Math.min(youngestMs, watch.ageMs());
    },
    listRegion: () => ["p1", "p2"],
    joinMs: 0,
    isContact: () => true,
    pull: async () => {
      await wait(700);
      const unchanged = { version: 1, isComplete: false, changes: [] };
      const delta = { servers: unchanged, orders: unchanged };
      return { type: "catalog", delta, ageMs: 0 };
    },
  });
  while (youngestMs === Infinity) await wait(20);
  t.true(youngestMs >= 600, `${youngestMs} ms`);
});

// The configuration changes rarely, so a new reader's first call that waits for
// a change is not answered for seconds. Its catalog counted as stale all the
// time: others did not follow it, and each read of the servers seemed to end an
// outage, so servers that had left were kept.
test("guards against a new reader whose catalog stays stale", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const memory = createMemoryStore();
  const document = buildDocument(1, [buildRoute()]);
  memory.put("orders", "config", { type: "document", document });
  const record = buildServer("s1", "127.0.0.1:9");
  memory.put("servers", "s1", { type: "server", record });
  const catalog = createCatalog({ zones: { "a-1": "a" } });
  const members = ["p1", "p2"];
  const unchanged = { version: 3, isComplete: false, changes: [] };
  const watch = startCatalogWatch({
    processId: "p2",
    catalog,
    source: memory.createClient("p2"),
    store,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "silent" }),
    onChanged: () => {},
    listRegion: () => members,
    joinMs: 0,
    isContact: () => true,
    pull: () => {
      if (members.length === 1) return Promise.resolve(undefined);
      const changes: CatalogChange[] = [
        { type: "server", record },
        { type: "document", document },
      ];
      const complete = { ...unchanged, isComplete: true, changes };
      const delta = { servers: complete, orders: complete };
      return Promise.resolve({ type: "catalog", delta, ageMs: 0 });
    },
  });
  while (!watch.isLoaded) await wait(20);
  members.shift();
  await wait(3_000);
  t.true(watch.isReading);
  t.true(watch.ageMs() < 1_500, `${watch.ageMs()} ms`);
  memory.drop("servers", "s1", { type: "server_removed", id: "s1" });
  await wait(1_200);
  t.is(catalog.findServers("desk", performance.now()).length, 0);
});
