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

/** Creates a reader of the `orders` table. */
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

// Another entry becomes the reader while a large answer is pending; if it were
// dropped, it would have to be read again.
test("guards against an answer of the store that is dropped because another entry became the reader", async (t) => {
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

// A waiting call that is sent while the store does not answer hangs for its
// whole wait after the store has recovered, which delays all changes of that
// time.
test("guards against a change that is delayed by a waiting call from an outage", async (t) => {
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
