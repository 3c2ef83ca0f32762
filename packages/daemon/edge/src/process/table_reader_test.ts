import test from "ava";
import type { ExecutionContext } from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import { DisposableStore } from "@dotterelmoor/core.types";
import { Err, Ok } from "ts-results-es";
import { pino } from "pino";
import type { CatalogStore } from "../ports.ts";
import {
  buildDocument,
  buildRoute,
  createMemoryStore,
} from "../edge_fixture.ts";
import { startCatalogWatch } from "./catalog_watch.ts";
import type { CatalogWatchOptions } from "./catalog_watch.ts";
import { createEdgeMetrics } from "./metrics.ts";

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function startWatch(
  t: ExecutionContext,
  options:
    & Pick<CatalogWatchOptions, "source">
    & Partial<CatalogWatchOptions>,
) {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const catalog = createCatalog({ zones: {} });
  const watch = startCatalogWatch({
    processId: "p2",
    catalog,
    store,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "silent" }),
    onChanged: () => {},
    listRegion: () => ["p2"],
    joinMs: 0,
    isContact: () => true,
    pull: () => Promise.resolve(undefined),
    ...options,
  });
  return { watch, catalog };
}

// Another entry becomes the reader while a large answer is pending; if it were
// dropped, it would have to be read again.
test("guards against an answer of the store that is dropped because another entry became the reader", async (t) => {
  const members = ["p2"];
  let answer: (version: number) => void = () => {};
  const client = createMemoryStore().createClient("p2");
  const source: CatalogStore = {
    ...client,
    readAll: (table) =>
      table !== "orders" ? client.readAll(table) : new Promise((resolve) => {
        answer = (version) => {
          const document = buildDocument(version, [buildRoute()]);
          const changes = [{ type: "document", document } as const];
          resolve(Ok({ version, isComplete: true, changes }));
        };
      }),
  };
  const unchanged = { version: 0, isComplete: false, changes: [] };
  const { watch, catalog } = startWatch(t, {
    source,
    listRegion: () => members,
    pull: () =>
      Promise.resolve({
        type: "catalog",
        delta: { servers: unchanged, orders: unchanged },
        ageMs: 0,
        reader: "p1",
      }),
  });
  await wait(50);
  members.unshift("p1");
  while (watch.isReading) await wait(20);
  t.is(catalog.document, undefined);
  answer(3);
  await wait(20);
  t.is(catalog.document?.version, 3);
  t.false(watch.isReading);
});

// Without its history, the store tells nothing of the rows that were removed
// meanwhile, so the whole table is read, and at once.
test("guards against changes that are missed because the store has lost its history", async (t) => {
  const memory = createMemoryStore();
  memory.put("orders", "config", {
    type: "document",
    document: buildDocument(1, [buildRoute()]),
  });
  const client = memory.createClient("p2");
  const reads: string[] = [];
  let isLost = false;
  const source: CatalogStore = {
    ...client,
    readAll: (table) => {
      if (table === "orders") reads.push("all");
      return client.readAll(table);
    },
    readChanges: (table, options) => {
      if (table !== "orders") return client.readChanges(table, options);
      reads.push(isLost ? "lost" : "changes");
      return isLost
        ? Promise.resolve(
          Err({ code: "history-lost", message: "Gone", hint: "Read all" }),
        )
        : client.readChanges(table, options);
    },
  };
  const { watch } = startWatch(t, { source });
  while (!watch.isLoaded) await wait(20);
  isLost = true;
  while (!reads.includes("lost")) await wait(20);
  isLost = false;
  const lostAt = reads.indexOf("lost");
  while (reads.length < lostAt + 3) await wait(20);
  t.deepEqual(reads.slice(lostAt, lostAt + 3), ["lost", "all", "changes"]);
  t.true(watch.ageMs() < 1_500);
});
