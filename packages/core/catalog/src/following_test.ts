import test from "ava";
import fc from "fast-check";
import { createCatalog } from "./mod.ts";
import type {
  Catalog,
  CatalogChange,
  CatalogTable,
  RoutingDocument,
  ServerRecord,
} from "./mod.ts";

const SEED = 20261204;
const ZONES: Readonly<Record<string, string>> = {
  "a-1": "a",
  "a-2": "a",
  "b-1": "b",
};

function makeDocument(version: number): RoutingDocument {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

function makeServer(
  id: string,
  changes: Partial<ServerRecord> = {},
): ServerRecord {
  return {
    id,
    service: "desk",
    address: "10.0.0.1:80",
    zone: "a-1",
    slots: 3,
    state: "ready",
    coldMs: 0,
    bornMs: 1,
    sequence: 1,
    ...changes,
  };
}

/** One update from anywhere, also from one that is behind. */
interface Told {
  readonly version: number;
  readonly isComplete: boolean;
  readonly isRelayed: boolean;
  readonly changes: readonly CatalogChange[];
  readonly afterMs: number;
}

function applyTold(
  catalog: Catalog,
  table: CatalogTable,
  { version, isComplete, isRelayed, changes }: Told,
  nowMs: number,
): void {
  const update = { version, isComplete, changes };
  if (!isRelayed) return catalog.applyTable(table, update, nowMs);
  const none = { version: 0, isComplete: false, changes: [] };
  catalog.applyDelta({ servers: none, orders: none, [table]: update }, nowMs);
}

function makeTold(
  change: fc.Arbitrary<CatalogChange>,
): fc.Arbitrary<readonly Told[]> {
  const told = fc.record({
    version: fc.integer({ min: 1, max: 12 }),
    isComplete: fc.boolean(),
    isRelayed: fc.boolean(),
    changes: fc.array(change, { maxLength: 4, size: "max" }),
    afterMs: fc.constantFrom(0, 1, 900, 2_500),
  });
  return fc.array(told, { minLength: 1, maxLength: 16, size: "max" });
}

test("guards against an older configuration in any order of updates", (t) => {
  const change = fc.nat(9).map((version): CatalogChange => ({
    type: "document",
    document: makeDocument(version),
  }));
  fc.assert(
    fc.property(makeTold(change), (all) => {
      const catalog = createCatalog({ zones: ZONES });
      let newest = -1;
      for (const told of all) {
        const isBehind = told.version < catalog.position.orders;
        applyTold(catalog, "orders", told, 0);
        for (const change of isBehind ? [] : told.changes) {
          if (change.type !== "document") continue;
          newest = Math.max(newest, change.document.version);
        }
        if ((catalog.document?.version ?? -1) !== newest) return false;
      }
      return true;
    }),
    { seed: SEED, numRuns: 3_000 },
  );
  t.pass();
});

/** Zones of the starts of a server; the installation has no zone x-9. */
const START_ZONES = ["a-1", "b-1", "x-9", "a-2", "b-1"];

// A request would run in the region that a restarted server left.
test("guards against a region that is not that of a server's newest start", (t) => {
  const record = fc.record({
    bornMs: fc.nat(START_ZONES.length - 1),
    sequence: fc.nat(4),
    coldMs: fc.constantFrom(0, 500),
  }).map((drawn) =>
    makeServer("s1", { ...drawn, zone: START_ZONES[drawn.bornMs]! })
  );
  const change = fc.oneof<fc.Arbitrary<CatalogChange>[]>(
    record.map((record) => ({ type: "server", record })),
    record.map((record) => ({ type: "server", record })),
    fc.constant({ type: "server_removed", id: "s1" }),
    fc.constant({ type: "server_missing", id: "s1", forMs: 10 }),
  );
  fc.assert(
    fc.property(makeTold(change), (all) => {
      const catalog = createCatalog({ zones: ZONES });
      let nowMs = 0;
      let newest = -1;
      for (const told of all) {
        nowMs += told.afterMs;
        const isBehind = told.version < catalog.position.servers;
        applyTold(catalog, "servers", told, nowMs);
        for (const change of isBehind ? [] : told.changes) {
          if (change.type !== "server") continue;
          newest = Math.max(newest, change.record.bornMs);
        }
        for (const { region, record } of catalog.findServers("desk", nowMs)) {
          if (record.bornMs !== newest) return false;
          if (region !== ZONES[START_ZONES[newest]!]) return false;
        }
      }
      return true;
    }),
    { seed: SEED, numRuns: 5_000 },
  );
  t.pass();
});
