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

/** Starts a reader of the servers whose reads the test answers. */
function startScriptedReader(t: ExecutionContext) {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const catalog = createCatalog({ zones: { "a-1": "a" } });
  const calls: string[] = [];
  const answers: ReturnType<CatalogStore["readAll"]>[] = [];
  const take = (call: string) => {
    calls.push(call);
    return answers.shift()!;
  };
  const lines: string[] = [];
  const reader = new TableReader("servers", {
    catalog,
    source: {
      ...createMemoryStore().createClient("p1"),
      readAll: () => take("all"),
      readChanges: (_table, { after }) => take(`after ${after}`),
    },
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "warn" }, {
      write: (line: string) => void lines.push(JSON.parse(line).msg),
    }),
    onChanged: () => {},
    contact: new ContactClock(),
    getCatalogAgeMs: () => 0,
  });
  const answer = (era: number, version: number, isComplete: boolean) => {
    const update = { era, version, isComplete, changes: [] };
    answers.push(Promise.resolve(Ok(update)));
  };
  return { reader, catalog, calls, answers, answer, lines };
}

// The rows of the first answer are those after a version of the old history.
test("guards against changes of a new era that are taken for those after the known version", async (t) => {
  const { reader, catalog, calls, answer } = startScriptedReader(t);
  answer(1, 10, true);
  await reader.read(0);
  answer(2, 12, false);
  answer(2, 12, true);
  await reader.read(0);
  t.deepEqual(calls, ["all", "after 10", "all"]);
  t.is(catalog.era, 2);
});

// Another read has brought the new era meanwhile, up to a lower version; the rows
// between them are not in the answer.
test("guards against a waiting answer that skips rows of the new era", async (t) => {
  const { reader, catalog, answer, answers } = startScriptedReader(t);
  answer(1, 10, true);
  await reader.read(0);
  let settle = () => {};
  answers.push(
    new Promise((resolve) => {
      const update = { era: 2, version: 11, isComplete: false, changes: [] };
      settle = () => resolve(Ok(update));
    }),
  );
  const waiting = reader.read(4_000);
  answer(2, 6, false);
  answer(2, 6, true);
  await reader.read(0);
  settle();
  t.is(await waiting, "failed");
  t.is(catalog.position.servers, 6);
});

test("guards against a late answer of the history that the store has left", async (t) => {
  const { reader, catalog, answer, answers, lines } = startScriptedReader(t);
  answer(1, 10, true);
  await reader.read(0);
  let settle = () => {};
  answers.push(
    new Promise((resolve) => {
      const late = { era: 1, version: 11, isComplete: false, changes: [] };
      settle = () => resolve(Ok(late));
    }),
  );
  const reading = reader.read(4_000);
  catalog.applyTable("orders", {
    era: 2,
    version: 3,
    isComplete: true,
    changes: [],
  }, 0);
  settle();
  t.is(await reading, "failed");
  t.is(catalog.position.servers, 10);
  // It is not a fault of the store.
  t.deepEqual(lines, []);
});

test("guards against reads of the whole table again and again while the store states an earlier era", async (t) => {
  const { reader, calls, answer, answers, lines } = startScriptedReader(t);
  answer(5, 10, true);
  await reader.read(0);
  for (let index = 0; index < 3; index++) {
    answers.push(Promise.resolve(
      Err({ code: "history-lost", message: "Gone", hint: "Read", era: 4 }),
    ));
    t.is(await reader.read(0), "failed");
  }
  t.deepEqual(calls, ["all", "after 10", "after 10", "after 10"]);
  t.is(lines.length, 1);
  answer(5, 11, false);
  t.is(await reader.read(0), "unchanged");
});
