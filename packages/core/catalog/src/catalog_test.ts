import test from "ava";
import { createCatalog, createSplitter } from "./mod.ts";
import type {
  Catalog,
  CatalogChange,
  CatalogTable,
  RouteRecord,
  RoutingDocument,
  ServerRecord,
} from "./mod.ts";

const ZONES = { "a-1": "a", "b-1": "b" };

function makeServer(changes: Partial<ServerRecord> = {}): ServerRecord {
  return {
    id: "s1",
    service: "desk",
    address: "10.0.0.1:80",
    zone: "a-1",
    slots: 3,
    state: "ready",
    coldMs: 0,
    bornMs: 100,
    sequence: 5,
    ...changes,
  };
}

function makeRoute(changes: Partial<RouteRecord> = {}): RouteRecord {
  return {
    name: "r1",
    host: "desk.example",
    prefix: "/a/",
    repeatable: true,
    timeoutMs: 1_000,
    targetLatencyMs: 200,
    priority: 1,
    targets: [{ service: "desk", weight: 1 }],
    maxAttempts: 2,
    sticky: true,
    allowedRegions: [],
    ...changes,
  };
}

function makeDocument(
  version: number,
  routes: readonly RouteRecord[] = [makeRoute()],
): RoutingDocument {
  return {
    version,
    routes,
    services: [{ name: "desk", maxConnections: 10, coldPerSecond: 5 }],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

const EMPTY_POSITION = { servers: 0, orders: 0 };

const TABLES: Readonly<Record<CatalogChange["type"], CatalogTable>> = {
  server: "servers",
  server_removed: "servers",
  server_missing: "servers",
  document: "orders",
  evacuation: "orders",
  evacuation_ended: "orders",
  crash_note: "crashes",
  crash_note_removed: "crashes",
  unreadable: "orders",
};

/** Applies one change as the next version of its table. */
function apply(catalog: Catalog, change: CatalogChange, nowMs: number): void {
  const table = TABLES[change.type];
  const version = catalog.position[table] + 1;
  const update = { version, isComplete: false, changes: [change] };
  catalog.applyTable(table, update, nowMs);
}

/** Applies a read of a whole table as its next version. */
function applyComplete(
  catalog: Catalog,
  table: CatalogTable,
  changes: readonly CatalogChange[],
  nowMs: number,
): void {
  const version = catalog.position[table] + 1;
  catalog.applyTable(table, { version, isComplete: true, changes }, nowMs);
}

function createLoaded() {
  const catalog = createCatalog({ zones: ZONES });
  apply(catalog, { type: "server", record: makeServer() }, 0);
  const ids = (nowMs: number) =>
    catalog.findServers("desk", nowMs).map(({ record }) => record.id);
  return { catalog, ids };
}

test("guards against a configuration that reverts to an older version", (t) => {
  const { catalog } = createLoaded();
  apply(catalog, { type: "document", document: makeDocument(7) }, 0);
  apply(catalog, { type: "document", document: makeDocument(5) }, 1);
  t.is(catalog.document?.version, 7);
  apply(catalog, { type: "document", document: makeDocument(12) }, 2);
  t.is(catalog.document?.version, 12);
});

test("guards against requests to a draining server after a late `ready` report", (t) => {
  const { catalog, ids } = createLoaded();
  const draining = makeServer({ state: "draining", sequence: 6 });
  apply(catalog, { type: "server", record: draining }, 1);
  t.deepEqual(ids(1), []);
  apply(catalog, { type: "server", record: makeServer({ sequence: 5 }) }, 2);
  t.deepEqual(ids(2), []);
  apply(catalog, { type: "server", record: makeServer({ sequence: 7 }) }, 3);
  t.deepEqual(ids(3), []);
  const restarted = makeServer({ bornMs: 200, sequence: 1 });
  apply(catalog, { type: "server", record: restarted }, 4);
  t.deepEqual(ids(4), ["s1"]);
});

test("guards against a removed server that a delayed report brings back", (t) => {
  const { catalog, ids } = createLoaded();
  apply(catalog, { type: "server_removed", id: "s1" }, 1);
  t.deepEqual(ids(1), []);
  apply(catalog, { type: "server", record: makeServer() }, 2);
  t.deepEqual(ids(2), []);
  apply(catalog, { type: "server", record: makeServer({ sequence: 6 }) }, 3);
  t.deepEqual(ids(3), ["s1"]);
});

test("guards against removal of live servers whose records expired in a store outage", (t) => {
  const { catalog, ids } = createLoaded();
  catalog.markStoreRecovered(10_000);
  applyComplete(catalog, "servers", [], 10_100);
  t.deepEqual(ids(11_000), ["s1"]);
  const back = makeServer({ sequence: 9 });
  apply(catalog, { type: "server", record: back }, 11_500);
  t.deepEqual(ids(20_000), ["s1"]);
});

test("guards against requests to a server that stays missing for 2 s after an outage", (t) => {
  const { catalog, ids } = createLoaded();
  catalog.markStoreRecovered(10_000);
  apply(catalog, { type: "server_removed", id: "s1" }, 10_100);
  t.deepEqual(ids(12_099), ["s1"]);
  t.deepEqual(ids(12_100), []);
});

test("guards against a grace period for draining servers after an outage", (t) => {
  const { catalog, ids } = createLoaded();
  const draining = makeServer({ state: "draining", sequence: 6 });
  apply(catalog, { type: "server", record: draining }, 1);
  catalog.markStoreRecovered(10_000);
  apply(catalog, { type: "server_removed", id: "s1" }, 10_100);
  t.deepEqual(ids(10_101), []);
});

test("guards against requests into a zone until its evacuation ends", (t) => {
  const { catalog, ids } = createLoaded();
  apply(catalog, { type: "evacuation", zone: "a-1" }, 1);
  t.deepEqual(ids(1), []);
  applyComplete(catalog, "orders", [], 2);
  t.deepEqual(ids(2), ["s1"]);
});

test("guards against a whole table of a peer that does not replace the own one", (t) => {
  const { catalog } = createLoaded();
  apply(catalog, { type: "document", document: makeDocument(3) }, 0);
  apply(catalog, { type: "evacuation", zone: "b-1" }, 0);
  apply(catalog, { type: "evacuation_ended", zone: "b-1" }, 0);
  apply(catalog, { type: "server", record: makeServer({ sequence: 6 }) }, 0);
  const other = createCatalog({ zones: ZONES });
  apply(other, { type: "server", record: makeServer({ id: "s2" }) }, 0);
  apply(other, { type: "evacuation", zone: "a-1" }, 0);
  const delta = catalog.changesSince(EMPTY_POSITION, 1);
  t.true(delta.servers.isComplete);
  t.true(delta.orders.isComplete);
  other.applyDelta(delta, 1);
  t.is(other.document?.version, 3);
  t.deepEqual(other.findServers("desk", 1).map(({ record }) => record.id), [
    "s1",
  ]);
});

test("guards against changes that a follower misses", (t) => {
  const { catalog } = createLoaded();
  const other = createCatalog({ zones: ZONES });
  other.applyDelta(catalog.changesSince(EMPTY_POSITION, 0), 0);
  const follow = (nowMs: number) => {
    const { servers, orders } = catalog.changesSince(other.position, nowMs);
    other.applyDelta({ servers, orders }, nowMs);
    t.false(servers.isComplete);
    return servers.changes.length + orders.changes.length;
  };
  const ids = (nowMs: number) =>
    other.findServers("desk", nowMs).map(({ record }) => record.id);

  apply(catalog, { type: "server", record: makeServer({ id: "s2" }) }, 1);
  t.is(follow(1), 1);
  applyComplete(catalog, "orders", [{ type: "evacuation", zone: "b-1" }], 1);
  other.applyDelta(catalog.changesSince(other.position, 1), 1);
  t.deepEqual(ids(1), ["s1", "s2"]);
  t.true(other.isEvacuated("b-1"));

  apply(catalog, { type: "server", record: makeServer({ sequence: 9 }) }, 2);
  t.is(follow(2), 0);

  apply(catalog, { type: "server_removed", id: "s1" }, 3);
  t.is(follow(3), 1);
  t.deepEqual(ids(3), ["s2"]);
});

// Positions are store versions, so a delta is enough.
test("guards against a whole table for a follower that switches to another source", (t) => {
  const changes: CatalogChange[] = [
    { type: "server", record: makeServer() },
    { type: "server", record: makeServer({ id: "s2" }) },
  ];
  const readers = [1, 2].map(() => {
    const reader = createCatalog({ zones: ZONES });
    reader.applyTable("servers", { version: 7, isComplete: true, changes }, 0);
    reader.applyTable(
      "orders",
      { version: 7, isComplete: true, changes: [] },
      0,
    );
    return reader;
  });
  const follower = createCatalog({ zones: ZONES });
  follower.applyDelta(readers[0]!.changesSince(follower.position, 0), 0);
  for (const reader of readers) {
    apply(reader, { type: "server_removed", id: "s1" }, 1);
  }
  const delta = readers[1]!.changesSince(follower.position, 1);
  t.deepEqual(delta.servers, {
    version: 8,
    isComplete: false,
    changes: [{ type: "server_removed", id: "s1" }],
  });
});

test("guards against a catalog that reverts to that of an entry which lags behind", (t) => {
  const { catalog, ids } = createLoaded();
  const behind = createCatalog({ zones: ZONES });
  behind.applyDelta(catalog.changesSince(EMPTY_POSITION, 0), 0);
  apply(catalog, { type: "server_removed", id: "s1" }, 1);
  apply(catalog, { type: "server", record: makeServer({ id: "s2" }) }, 1);
  catalog.applyDelta(behind.changesSince(EMPTY_POSITION, 2), 2);
  t.deepEqual(ids(2), ["s2"]);
  t.is(catalog.position.servers, 3);
});

// The log of the source starts with its first read and lacks earlier removals.
test("guards against a follower that misses a removal before the first read of its source", (t) => {
  const { catalog, ids } = createLoaded();
  const late = createCatalog({ zones: ZONES });
  const changes: CatalogChange[] = [
    { type: "server", record: makeServer({ id: "s2" }) },
  ];
  late.applyTable("servers", { version: 9, isComplete: true, changes }, 0);
  catalog.applyDelta(late.changesSince(catalog.position, 1), 1);
  t.deepEqual(ids(1), ["s2"]);
});

test("guards against followers that remove servers missing after a store outage", (t) => {
  const { catalog } = createLoaded();
  const other = createCatalog({ zones: ZONES });
  other.applyDelta(catalog.changesSince(EMPTY_POSITION, 0), 0);
  const ids = (nowMs: number) =>
    other.findServers("desk", nowMs).map(({ record }) => record.id);
  catalog.markStoreRecovered(10_000);
  apply(catalog, { type: "server_removed", id: "s1" }, 10_100);
  other.applyDelta(catalog.changesSince(other.position, 10_200), 10_200);
  t.deepEqual(ids(12_099), ["s1"]);
  t.deepEqual(ids(12_100), []);
  const third = createCatalog({ zones: ZONES });
  third.applyDelta(catalog.changesSince(EMPTY_POSITION, 12_200), 12_200);
  t.deepEqual(third.findServers("desk", 12_200), []);
});

// An entry that both reads the store and follows another entry gets the same
// changes twice; the tombstone of the removal would reject the repeated report.
test("guards against a server that is lost when its removal and report are repeated", (t) => {
  const { catalog, ids } = createLoaded();
  const changes: CatalogChange[] = [
    { type: "server_removed", id: "s1" },
    { type: "server", record: makeServer({ sequence: 6 }) },
  ];
  for (const version of [3, 4]) {
    const update = { version, isComplete: false, changes };
    catalog.applyTable("servers", update, version);
    t.deepEqual(ids(version), ["s1"]);
  }
});

/** Creates a catalog that read the given servers at a version. */
function createAt(version: number, changes: readonly CatalogChange[]) {
  const catalog = createCatalog({ zones: ZONES });
  const update = { version, isComplete: true, changes };
  catalog.applyTable("servers", update, 0);
  catalog.applyTable("orders", { ...update, changes: [] }, 0);
  return catalog;
}

// A whole table lists no removals, so deltas from before it are incomplete.
test("guards against a server that stays after its source read the whole table", (t) => {
  const follower = createAt(2, [{ type: "server", record: makeServer() }]);
  const source = createAt(1, []);
  applyComplete(source, "servers", [], 1);
  applyComplete(source, "servers", [], 1);
  follower.applyDelta(source.changesSince(follower.position, 1), 1);
  t.is(follower.position.servers, 3);
  t.deepEqual(follower.findServers("desk", 1), []);
});

// An entry must pass on the end of an evacuation that it did not know of.
test("guards against an evacuation that stays because the source never knew of it", (t) => {
  const follower = createAt(1, []);
  const between = createAt(1, []);
  apply(follower, { type: "evacuation", zone: "a-1" }, 0);
  const none = { version: 1, isComplete: false, changes: [] };
  const ended: CatalogChange = { type: "evacuation_ended", zone: "a-1" };
  const orders = { version: 3, isComplete: false, changes: [ended] };
  between.applyDelta({ servers: none, orders }, 1);
  follower.applyDelta(between.changesSince(follower.position, 1), 1);
  t.is(follower.position.orders, 3);
  t.false(follower.isEvacuated("a-1"));
});

// An entry must pass on changes that do not change its own catalog.
test("guards against a removal or a return that is no change for the source", (t) => {
  const record = makeServer();
  const server: CatalogChange = { type: "server", record };
  const removed: CatalogChange = { type: "server_removed", id: "s1" };
  for (const types of ["server_missing", "server_removed"] as const) {
    const follower = createAt(2, [server]);
    const between = createAt(1, []);
    const change: CatalogChange = types === "server_missing"
      ? { type: types, id: "s1", forMs: 2_000 }
      : removed;
    const servers = { version: 3, isComplete: false, changes: [change] };
    const orders = { version: 1, isComplete: false, changes: [] };
    between.applyDelta({ servers, orders }, 1);
    follower.applyDelta(between.changesSince(follower.position, 1), 1);
    t.deepEqual(follower.findServers("desk", 1), []);
  }
  const follower = createAt(2, []);
  const between = createAt(1, [server]);
  const back = { ...record, sequence: record.sequence + 1 };
  const changes: CatalogChange[] = [{ type: "server", record: back }];
  const servers = { version: 3, isComplete: false, changes };
  const orders = { version: 1, isComplete: false, changes: [] };
  between.applyDelta({ servers, orders }, 1);
  follower.applyDelta(between.changesSince(follower.position, 1), 1);
  t.is(follower.findServers("desk", 1).length, 1);
});

test("guards against requests that match a shorter prefix instead of a longer one", (t) => {
  const { catalog } = createLoaded();
  const routes = [
    makeRoute({ name: "short", prefix: "/a/" }),
    makeRoute({ name: "long", prefix: "/a/b/" }),
    makeRoute({ name: "other", prefix: "/a/b/", host: "other.example" }),
  ];
  apply(catalog, { type: "document", document: makeDocument(1, routes) }, 0);
  const find = (host: string, path: string) =>
    catalog.routes?.find(host, path)?.name;
  t.is(find("Desk.Example:8080", "/a/b/c"), "long");
  t.is(find("desk.example", "/a/bc"), "short");
  t.is(find("other.example", "/a/b/c"), "other");
  t.is(find("other.example", "/a/c"), undefined);
  t.is(find("desk.example", "/"), undefined);
});

test("guards against split shares that deviate within short windows", (t) => {
  const splitter = createSplitter();
  const route = makeRoute({
    targets: [
      { service: "x", weight: 90 },
      { service: "y", weight: 10 },
      { service: "z", weight: 0 },
    ],
  });
  const counts = { x: 0, y: 0, z: 0 };
  for (let index = 0; index < 300; index++) {
    counts[splitter.choose(route) as keyof typeof counts] += 1;
  }
  t.deepEqual(counts, { x: 270, y: 30, z: 0 });
});

// A late answer of the earlier start must not replace the newer mark.
test("guards against requests to a leaving server whose earlier start left too", (t) => {
  const catalog = createCatalog({ zones: ZONES });
  const report = (version: number, bornMs: number) => {
    const record = makeServer({ bornMs, sequence: version });
    const changes: CatalogChange[] = [{ type: "server", record }];
    const update = { version, isComplete: true, changes };
    catalog.applyTable("servers", update, 0);
  };
  report(1, 100);
  report(2, 200);
  catalog.markLeaving("s1", 200, 10);
  catalog.markLeaving("s1", 100, 20);
  // The record disappears and reappears.
  catalog.applyTable(
    "servers",
    { version: 3, isComplete: true, changes: [] },
    25,
  );
  report(4, 200);
  t.is(catalog.findServers("desk", 30).length, 0);
  report(5, 300);
  t.is(catalog.findServers("desk", 40).length, 1);
});
