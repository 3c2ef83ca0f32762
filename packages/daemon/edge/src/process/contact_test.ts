import test from "ava";
import type { ExecutionContext } from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import { DisposableStore } from "@dotterelmoor/core.types";
import type { CatalogMessage } from "@dotterelmoor/network.peering";
import { pino } from "pino";
import {
  buildDocument,
  buildRoute,
  createMemoryStore,
} from "../edge_fixture.ts";
import { startCatalogWatch } from "./catalog_watch.ts";
import { createEdgeMetrics } from "./metrics.ts";

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Starts a watch that has read configuration version 1 from the store. */
async function start(
  t: ExecutionContext,
  pull: () => Promise<CatalogMessage | undefined>,
  region: readonly string[] = ["p2"],
) {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const memory = createMemoryStore();
  const document = buildDocument(1, [buildRoute({ allowedRegions: ["a"] })]);
  memory.put("orders", "config", { type: "document", document });
  const catalog = createCatalog({ zones: {} });
  const watch = startCatalogWatch({
    processId: "p2",
    catalog,
    source: memory.createClient("p2"),
    store,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "silent" }),
    onChanged: () => {},
    listRegion: () => region,
    joinMs: 0,
    isContact: (ageMs) => ageMs <= 2_500,
    pull,
  });
  while (!watch.isLoaded) await wait(20);
  return { watch, catalog, memory };
}

function buildAnswer(version: number, ageMs: number): CatalogMessage {
  const document = buildDocument(version, [
    buildRoute({ allowedRegions: ["b"] }),
  ]);
  return {
    type: "catalog",
    delta: {
      servers: { version: 50, isComplete: false, changes: [] },
      orders: {
        version: 50,
        isComplete: false,
        changes: [{ type: "document", document }],
      },
    },
    ageMs,
  };
}

// An entry is suspended while the configuration changes, and resumes in an
// outage of the store: by its monotonic clock, its catalog is younger than that
// of the entries which have the change.
test("guards against a newer configuration that is refused because its sender has not read the store lately", async (t) => {
  const { watch, catalog, memory } = await start(
    t,
    () => Promise.resolve(buildAnswer(2, 8_000)),
  );
  memory.setDown(true);
  watch.pullNow("10.0.0.9:7620");
  await wait(4_000);
  t.is(catalog.document?.version, 2);
});

// Entries that are all cut off from the store could confirm each other's
// contact forever.
test("guards against answers of entries out of contact that count as contact", async (t) => {
  const { watch, memory } = await start(
    t,
    () => Promise.resolve(buildAnswer(1, 600_000)),
  );
  memory.setDown(true);
  await wait(5_500);
  t.true(watch.contactAgeMs() > 2_500, `${watch.contactAgeMs()} ms`);
});

test("guards against an answer from before a suspension that counts as contact", async (t) => {
  let answer: (message: CatalogMessage) => void = () => {};
  const { watch, memory } = await start(t, () =>
    new Promise((resolve) => {
      answer = resolve;
    }));
  memory.setDown(true);
  watch.pullNow("10.0.0.9:7620");
  await wait(50);
  // The instance is suspended for 10 s: only the time of day advances. The
  // answer was received before the suspension and is read after it.
  const now = Date.now;
  Date.now = () => now() + 10_000;
  t.teardown(() => {
    Date.now = now;
  });
  answer(buildAnswer(1, 0));
  await wait(10);
  t.true(watch.contactAgeMs() > 2_500, `${watch.contactAgeMs()} ms`);
});

// The first entry that it asks instead is dead; the others answer.
test("guards against a reader that loses contact when the store becomes unreachable", async (t) => {
  let asked = 0;
  const { watch, memory } = await start(t, async () => {
    asked += 1;
    if (asked > 1) return buildAnswer(1, 500);
    await wait(400);
    return undefined;
  }, ["p2", "p3"]);
  await wait(700);
  memory.setDown(true);
  let longestMs = 0;
  const endAtMs = performance.now() + 6_000;
  while (performance.now() < endAtMs) {
    longestMs = Math.max(longestMs, watch.contactAgeMs());
    await wait(20);
  }
  t.true(longestMs < 2_500, `${longestMs} ms`);
});

// The servers are read over another connection than the configuration, which
// holds the regions of routes.
test("guards against reads of the servers that count as contact while the configuration cannot be read", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const memory = createMemoryStore();
  const document = buildDocument(1, [buildRoute({ allowedRegions: ["a"] })]);
  memory.put("orders", "config", { type: "document", document });
  const client = memory.createClient("p2");
  let isSilent = false;
  const watch = startCatalogWatch({
    processId: "p2",
    catalog: createCatalog({ zones: {} }),
    source: {
      ...client,
      readChanges: (table, options) =>
        isSilent && table === "orders"
          ? new Promise(() => {})
          : client.readChanges(table, options),
    },
    store,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "silent" }),
    onChanged: () => {},
    listRegion: () => ["p2"],
    joinMs: 0,
    isContact: () => false,
    pull: () => Promise.resolve(undefined),
  });
  while (!watch.isLoaded) await wait(20);
  isSilent = true;
  await wait(4_000);
  t.true(watch.contactAgeMs() > 2_500, `${watch.contactAgeMs()} ms`);
});
