import test from "ava";
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
import { runRepeatedly, wait } from "./intervals.ts";
import { createEdgeMetrics } from "./metrics.ts";

const SILENT = pino({ level: "silent" });

test("guards against a loop that ends after one failed step", async (t) => {
  let steps = 0;
  await runRepeatedly(() => {
    steps += 1;
    return steps === 1
      ? Promise.reject(new Error("Unexpected"))
      : Promise.resolve(0);
  }, { isStopped: () => steps === 3, log: SILENT });
  t.is(steps, 3);
});

// The entry would use the catalog of that moment until it is restarted.
test("guards against a catalog that is never updated again after one failed pull", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const memory = createMemoryStore();
  memory.setDown(true);
  const document = buildDocument(1, [buildRoute()]);
  const answer: CatalogMessage = {
    type: "catalog",
    delta: {
      servers: { version: 1, isComplete: true, changes: [] },
      orders: {
        version: 1,
        isComplete: true,
        changes: [{ type: "document", document }],
      },
    },
    ageMs: 0,
  };
  let pulls = 0;
  const watch = startCatalogWatch({
    processId: "p2",
    catalog: createCatalog({ zones: {} }),
    source: memory.createClient("p2"),
    store,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: SILENT,
    onChanged: () => {},
    listRegion: () => ["p1", "p2"],
    joinMs: 0,
    isContact: () => true,
    pull: () => {
      pulls += 1;
      return pulls === 1
        ? Promise.reject(new Error("Unexpected"))
        : Promise.resolve(answer);
    },
  });
  const endAtMs = performance.now() + 5_000;
  while (!watch.isLoaded && performance.now() < endAtMs) await wait(20);
  t.true(watch.isLoaded);
});
