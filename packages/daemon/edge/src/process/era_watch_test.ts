import test from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import type { CatalogTable } from "@dotterelmoor/core.catalog";
import { DisposableStore } from "@dotterelmoor/core.types";
import { pino } from "pino";
import { EraWatch } from "./era_watch.ts";
import { createEdgeMetrics } from "./metrics.ts";

// An operator tells by it that a drill went well.
test("guards against a change of the era that is logged twice, early or not at all", async (t) => {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  const lines: Record<string, unknown>[] = [];
  const log = pino({}, {
    write: (line: string) => void lines.push(JSON.parse(line)),
  });
  const metrics = createEdgeMetrics({ address: undefined, store });
  const catalog = createCatalog({ zones: {} });
  const renewed = { registration: true, savedState: false, crashNotes: 2 };
  const eras = new EraWatch({
    catalog,
    metrics,
    log,
    onEraChanged: () => renewed,
  });
  const read = (table: CatalogTable, era: number, version: number) => {
    const update = { era, version, isComplete: true, changes: [] };
    catalog.applyTable(table, update, 0);
    return eras.check("store", { [table]: 3 });
  };
  t.false(read("servers", 7, 50));
  t.false(read("orders", 7, 50));
  t.false(read("crashes", 7, 50));
  t.true(read("orders", 8, 41));
  t.false(read("servers", 8, 42));
  t.deepEqual(lines, []);
  t.false(read("crashes", 8, 42));
  t.false(read("servers", 8, 60));
  t.is(lines.length, 1);
  t.like(lines[0], {
    fromEra: 7,
    toEra: 8,
    from: { servers: { era: 7, version: 50 } },
    to: { servers: { era: 8, version: 42 }, orders: { era: 8, version: 41 } },
    rows: { servers: 3, orders: 3, crashes: 3 },
    renewed,
  });
  const { values } = await metrics.eraChanges.get();
  t.is(values[0]?.value, 1);
});
