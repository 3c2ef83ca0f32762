import test from "ava";
import type { ExecutionContext } from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import type { Catalog } from "@dotterelmoor/core.catalog";
import { DisposableStore } from "@dotterelmoor/core.types";
import { Err, Ok } from "ts-results-es";
import { pino } from "pino";
import type { CatalogStore } from "../ports.ts";
import {
  buildDocument,
  buildRoute,
  createMemoryStore,
} from "../edge_fixture.ts";
import { ContactClock } from "./contact_clock.ts";
import { createEdgeMetrics } from "./metrics.ts";
import { TableReader } from "./table_reader.ts";

const UNREACHABLE = {
  code: "unreachable",
  message: "No answer came in time",
  hint: "Wait",
} as const;

/** A reader of the operators' table. */
function createReader(
  t: ExecutionContext,
  source: CatalogStore,
  catalog: Catalog = createCatalog({ zones: {} }),
): TableReader {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  return new TableReader("orders", {
    catalog,
    source,
    store,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: pino({ level: "silent" }),
    onChanged: () => {},
    contact: new ContactClock(),
    getCatalogAgeMs: () => Infinity,
  });
}

// Another entry of the region takes over the reading while a large answer is
// under way; dropped, it has to be read once more.
test("guards against an answer of the store that is dropped as another entry reads", async (t) => {
  let answer: (version: number) => void = () => {};
  const source: CatalogStore = {
    ...createMemoryStore().createClient("n1"),
    readAll: () =>
      new Promise((resolve) => {
        answer = (version) => {
          const document = buildDocument(version, [buildRoute()]);
          const changes = [{ type: "document", document } as const];
          resolve(Ok({ version, isComplete: true, changes }));
        };
      }),
  };
  const catalog = createCatalog({ zones: {} });
  const reader = createReader(t, source, catalog);
  reader.start();
  reader.stop();
  answer(3);
  await new Promise((resolve) => setTimeout(resolve, 20));
  t.is(catalog.document?.version, 3);
  t.is(reader.ageMs(), Infinity);
});

// A waiting call that is made during a silent outage hangs for its whole wait
// after the store is back, and all changes of that time with it.
test("guards against a change that waits behind a call made during an outage", async (t) => {
  const waits: number[] = [];
  const source: CatalogStore = {
    ...createMemoryStore().createClient("n1"),
    readAll: () =>
      Promise.resolve(Ok({ version: 1, isComplete: true, changes: [] })),
    readChanges: (_table, { waitMs }) => {
      waits.push(waitMs);
      if (waits.length < 3) return Promise.resolve(Err(UNREACHABLE));
      const update = { version: 2, isComplete: false, changes: [] };
      return waits.length === 3
        ? Promise.resolve(Ok(update))
        : new Promise(() => {});
    },
  };
  const reader = createReader(t, source);
  reader.start();
  while (waits.length < 4) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  const [first, second, third, fourth] = waits;
  t.true(first! > 0);
  t.deepEqual([second, third], [0, 0]);
  t.is(fourth, first);
});
