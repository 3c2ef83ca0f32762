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
  buildServer,
  createMemoryStore,
} from "../edge_fixture.ts";
import { startCatalogWatch } from "./catalog_watch.ts";
import type { CatalogWatchOptions } from "./catalog_watch.ts";
import { ContactClock } from "./contact_clock.ts";
import { createEdgeMetrics } from "./metrics.ts";
import { TableReader } from "./table_reader.ts";

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

// A store without rows has version 0, which did not count as known: each waiting
// read became one of the whole table that does not wait, twenty a second.
test("guards against reads of the whole table again and again from an empty store", async (t) => {
  const empty = { version: 0, changes: [] };
  const reads: string[] = [];
  const source: CatalogStore = {
    ...createMemoryStore().createClient("p2"),
    readAll: (table) => {
      reads.push(table);
      return Promise.resolve(Ok({ ...empty, isComplete: true }));
    },
    readChanges: async (_table, { waitMs }) => {
      await wait(waitMs);
      return Ok({ ...empty, isComplete: false });
    },
  };
  startWatch(t, { source });
  await wait(3_000);
  t.deepEqual(reads.sort(), ["crashes", "orders", "servers"]);
});

/** Reads the servers after a while in which the catalog was not refreshed and a
 * server was removed; returns whether requests may still be sent to it. */
async function readAfterRemoval(
  t: ExecutionContext,
  { ageMs, failsBefore }: {
    readonly ageMs: number;
    readonly failsBefore: boolean;
  },
): Promise<boolean> {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const memory = createMemoryStore();
  const record = buildServer("s1", "127.0.0.1:9");
  memory.put("servers", "s1", { type: "server", record });
  const catalog = createCatalog({ zones: { "a-1": "a" } });
  let catalogAgeMs = 0;
  const reader = new TableReader("servers", {
    catalog,
    source: memory.createClient("p1"),
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "silent" }),
    onChanged: () => {},
    contact: new ContactClock(),
    getCatalogAgeMs: () => catalogAgeMs,
  });
  await reader.read(0);
  memory.drop("servers", "s1", { type: "server_removed", id: "s1" });
  if (failsBefore) {
    memory.setDown(true);
    await reader.read(0);
    memory.setDown(false);
  }
  catalogAgeMs = ageMs;
  await reader.read(0);
  return catalog.findServers("desk", performance.now()).length > 0;
}

// An old catalog was taken for an outage of the store, after which missing
// records count for 2 s more.
test("guards against a removed server that is kept because the catalog was old", async (t) => {
  t.false(await readAfterRemoval(t, { ageMs: 3_000, failsBefore: false }));
});

test("guards against a server that is dropped because its record expired in an outage", async (t) => {
  t.true(await readAfterRemoval(t, { ageMs: 3_000, failsBefore: true }));
  t.false(await readAfterRemoval(t, { ageMs: 1_000, failsBefore: true }));
});
