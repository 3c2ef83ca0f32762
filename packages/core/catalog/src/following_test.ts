import test from "ava";
import type { CrashNote } from "@dotterelmoor/core.quarantine";
import fc from "fast-check";
import { createCatalog } from "./mod.ts";
import type {
  Catalog,
  CatalogChange,
  CatalogTable,
  RoutingDocument,
  ServerRecord,
  TableUpdate,
} from "./mod.ts";

const SEED = 20261204;
const ZONES: Readonly<Record<string, string>> = {
  "a-1": "a",
  "a-2": "a",
  "b-1": "b",
};
const ZONE_NAMES = Object.keys(ZONES);
const CATALOGS = 3;

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

interface StoreRow {
  readonly version: number;
  readonly table: CatalogTable;
  readonly key: string;
  /** Value of the row; undefined once it is removed. */
  readonly value: CatalogChange | undefined;
  readonly change: CatalogChange;
}

/** Model of the platform's store with its full history. */
class ModelStore {
  readonly rows: StoreRow[] = [];
  historyFrom = 0;

  get version(): number {
    return this.rows.length;
  }

  put(table: CatalogTable, key: string, value: CatalogChange): void {
    const version = this.version + 1;
    this.rows.push({ version, table, key, value, change: value });
  }

  drop(table: CatalogTable, key: string, change: CatalogChange): void {
    if (!this.readAt(table, this.version).has(key)) return;
    const version = this.version + 1;
    this.rows.push({ version, table, key, value: undefined, change });
  }

  /** Returns a table as of a version. */
  readAt(table: CatalogTable, version: number): Map<string, CatalogChange> {
    const found = new Map<string, CatalogChange>();
    for (const row of this.rows.slice(0, version)) {
      if (row.table !== table) continue;
      if (row.value === undefined) found.delete(row.key);
      else found.set(row.key, row.value);
    }
    return found;
  }

  /** Returns the changes after a version, or the whole table if the history
   * does not reach back so far. */
  read(table: CatalogTable, after: number | undefined): TableUpdate {
    const { version } = this;
    if (after === undefined || after === 0 || after < this.historyFrom) {
      const changes = [...this.readAt(table, version).values()];
      return { version, isComplete: true, changes };
    }
    const changes = this.rows.slice(after)
      .filter((row) => row.table === table)
      .map(({ change }) => change);
    return { version, isComplete: false, changes };
  }
}

/** Step of a history; indexes are taken modulo the number of choices. */
type Step =
  | { readonly type: "report"; readonly id: number; readonly zone: number }
  | { readonly type: "restart"; readonly id: number; readonly zone: number }
  | { readonly type: "drain"; readonly id: number }
  | { readonly type: "drop"; readonly id: number }
  | { readonly type: "document"; readonly step: number }
  | { readonly type: "evacuate"; readonly zone: number }
  | { readonly type: "evacuation_ended"; readonly zone: number }
  | {
    readonly type: "read";
    readonly to: number;
    readonly isWhole: boolean;
    readonly isDelayed: boolean;
  }
  | {
    readonly type: "follow";
    readonly to: number;
    readonly from: number;
    readonly isDelayed: boolean;
  }
  | { readonly type: "deliver"; readonly index: number }
  | { readonly type: "returned"; readonly to: number }
  | { readonly type: "discard_history" }
  | { readonly type: "wait"; readonly ms: number };

/** A message in flight: delivering a request returns its response, and
 * delivering a response applies it. */
type Message = () => (() => void) | void;

class History {
  readonly store = new ModelStore();
  readonly catalogs: Catalog[] = [];
  nowMs = 0;
  #documentVersion = 0;
  readonly #servers = new Map<number, ServerRecord>();
  readonly #messages: Message[] = [];

  constructor() {
    for (let index = 0; index < CATALOGS; index++) {
      this.catalogs.push(createCatalog({ zones: ZONES }));
    }
  }

  readonly #handlers: {
    readonly [Type in Step["type"]]: (
      step: Extract<Step, { type: Type }>,
    ) => void;
  } = {
    report: ({ id }) => this.#report(id, {}),
    restart: ({ id, zone }) => {
      const bornMs = (this.#servers.get(id)?.bornMs ?? 0) + 1;
      const zoneName = ZONE_NAMES[zone % ZONE_NAMES.length]!;
      this.#servers.set(id, makeServer(`s${id}`, { bornMs, zone: zoneName }));
      this.#report(id, { state: "ready" });
    },
    drain: ({ id }) => this.#report(id, { state: "draining" }),
    drop: ({ id }) =>
      this.store.drop("servers", `s${id}`, {
        type: "server_removed",
        id: `s${id}`,
      }),
    document: ({ step }) => {
      this.#documentVersion += 1 + step;
      const document = makeDocument(this.#documentVersion);
      this.store.put("orders", "config", { type: "document", document });
    },
    evacuate: ({ zone: index }) => {
      const zone = ZONE_NAMES[index % ZONE_NAMES.length]!;
      this.store.put("orders", zone, { type: "evacuation", zone });
    },
    evacuation_ended: ({ zone: index }) => {
      const zone = ZONE_NAMES[index % ZONE_NAMES.length]!;
      this.store.drop("orders", zone, { type: "evacuation_ended", zone });
    },
    read: ({ to, isWhole, isDelayed }) => {
      const catalog = this.#pick(to);
      for (const table of ["servers", "orders"] as const) {
        const after = isWhole ? undefined : catalog.position[table];
        this.#send(isDelayed, () => {
          const update = this.store.read(table, after);
          return () => catalog.applyTable(table, update, this.nowMs);
        });
      }
    },
    follow: ({ to, from, isDelayed }) => {
      const catalog = this.#pick(to);
      const { position } = catalog;
      this.#send(isDelayed, () => {
        const delta = this.#pick(from).changesSince(position, this.nowMs);
        return () => catalog.applyDelta(delta, this.nowMs);
      });
    },
    deliver: ({ index }) => {
      if (this.#messages.length === 0) return;
      const [message] = this.#messages.splice(
        index % this.#messages.length,
        1,
      );
      const next = message!();
      if (typeof next === "function") this.#messages.push(next);
    },
    returned: ({ to }) => this.#pick(to).markStoreRecovered(this.nowMs),
    discard_history: () => this.store.historyFrom = this.store.version,
    wait: ({ ms }) => this.nowMs += ms,
  };

  apply(step: Step): void {
    (this.#handlers[step.type] as (step: Step) => void)(step);
  }

  #pick(index: number): Catalog {
    return this.catalogs[index % CATALOGS]!;
  }

  /** Sends a request. Delayed requests and responses are delivered later, in
   * any order. */
  #send(isDelayed: boolean, request: () => () => void): void {
    if (isDelayed) this.#messages.push(request);
    else request()();
  }

  #report(id: number, changes: Partial<ServerRecord>): void {
    const known = this.#servers.get(id) ?? makeServer(`s${id}`);
    const sequence = known.sequence + 1;
    const record = { ...known, ...changes, sequence };
    this.#servers.set(id, record);
    this.store.put("servers", record.id, { type: "server", record });
  }
}

const small = fc.nat(9);
const server = fc.nat(3);
/** True for one in four, so that most reads are incremental and undelayed. */
const rarely = fc.nat(3).map((drawn) => drawn === 3);

const WEIGHTED: readonly (readonly [number, fc.Arbitrary<Step>])[] = [
  [2, makeStep("report", { id: server, zone: small })],
  [2, makeStep("restart", { id: server, zone: small })],
  [1, makeStep("drain", { id: server })],
  [2, makeStep("drop", { id: server })],
  [2, makeStep("document", { step: fc.nat(2) })],
  [2, makeStep("evacuate", { zone: small })],
  [2, makeStep("evacuation_ended", { zone: small })],
  [5, makeStep("read", { to: small, isWhole: rarely, isDelayed: rarely })],
  [8, makeStep("follow", { to: small, from: small, isDelayed: rarely })],
  [6, makeStep("deliver", { index: small })],
  [1, makeStep("returned", { to: small })],
  [1, makeStep("discard_history", {})],
  [1, makeStep("wait", { ms: fc.constantFrom(1, 900, 3_000) })],
];

const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  ...WEIGHTED.map(([weight, arbitrary]) => ({ weight, arbitrary })),
);

function makeStep<Type extends Step["type"]>(
  type: Type,
  fields: {
    readonly [Key in keyof Omit<Extract<Step, { type: Type }>, "type">]:
      fc.Arbitrary<Extract<Step, { type: Type }>[Key]>;
  },
): fc.Arbitrary<Step> {
  return fc.record({ type: fc.constant(type), ...fields }) as fc.Arbitrary<
    Step
  >;
}

/** Returns the servers whose records are missing after an outage; they stay in
 * the catalog for a grace period. */
function findLapsed(catalog: Catalog, nowMs: number): ReadonlySet<string> {
  const whole = catalog.changesSince({ servers: -1, orders: -1 }, nowMs);
  return new Set(
    whole.servers.changes.flatMap((change) =>
      change.type === "server_missing" ? [change.id] : []
    ),
  );
}

/** Throws if a catalog differs from the store at the catalog's position. */
function checkCatalog(
  { store, nowMs }: History,
  catalog: Catalog,
): void {
  const { servers, orders } = catalog.position;
  const ordered = store.readAt("orders", orders);
  const config = ordered.get("config");
  const version = config?.type === "document"
    ? config.document.version
    : undefined;
  if (catalog.document?.version !== version) {
    throw new Error(
      `Document version ${catalog.document?.version} instead of ${version}`,
    );
  }
  for (const zone of ZONE_NAMES) {
    if (catalog.isEvacuated(zone) !== ordered.has(zone)) {
      throw new Error(`Evacuation of ${zone} differs`);
    }
  }
  const stored = store.readAt("servers", servers);
  const found = new Map(
    catalog.findServers("desk", nowMs).map((item) => [item.record.id, item]),
  );
  const lapsed = findLapsed(catalog, nowMs);
  for (const { record, region } of found.values()) {
    const row = stored.get(record.id);
    if (row?.type !== "server" && lapsed.has(record.id)) continue;
    if (row?.type !== "server") throw new Error(`${record.id} left`);
    if (ZONES[row.record.zone] !== region) {
      throw new Error(`${record.id} is not in ${region}`);
    }
  }
  for (const [id, row] of stored) {
    if (row.type !== "server" || row.record.state !== "ready") continue;
    if (catalog.isEvacuated(row.record.zone) || found.has(id)) continue;
    throw new Error(`${id} is missing`);
  }
}

// An entry whose position moved past a change that it did not apply would keep
// the old configuration until the next change.
test("guards against an entry whose position passes a change that it did not apply", (t) => {
  fc.assert(
    fc.property(
      fc.array(arbitraryStep, { minLength: 1, maxLength: 150, size: "max" }),
      (steps) => {
        const history = new History();
        const versions = history.catalogs.map(() => -1);
        for (const step of steps) {
          history.apply(step);
          history.catalogs.forEach((catalog, index) => {
            checkCatalog(history, catalog);
            const version = catalog.document?.version ?? -1;
            if (version < versions[index]!) throw new Error("Reverted");
            versions[index] = version;
          });
        }
      },
    ),
    { seed: SEED, numRuns: 1_500 },
  );
  t.pass();
});

/** An update of any source, which may lag behind. */
interface ReceivedUpdate {
  readonly version: number;
  readonly isComplete: boolean;
  readonly isRelayed: boolean;
  readonly changes: readonly CatalogChange[];
  readonly afterMs: number;
}

function applyReceived(
  catalog: Catalog,
  table: CatalogTable,
  { version, isComplete, isRelayed, changes }: ReceivedUpdate,
  nowMs: number,
): void {
  const update = { version, isComplete, changes };
  if (!isRelayed) return catalog.applyTable(table, update, nowMs);
  const none = { version: 0, isComplete: false, changes: [] };
  catalog.applyDelta({ servers: none, orders: none, [table]: update }, nowMs);
}

function makeUpdates(
  change: fc.Arbitrary<CatalogChange>,
): fc.Arbitrary<readonly ReceivedUpdate[]> {
  const update = fc.record({
    version: fc.integer({ min: 1, max: 12 }),
    isComplete: fc.boolean(),
    isRelayed: fc.boolean(),
    changes: fc.array(change, { maxLength: 4, size: "max" }),
    afterMs: fc.constantFrom(0, 1, 900, 2_500),
  });
  return fc.array(update, { minLength: 1, maxLength: 16, size: "max" });
}

test("guards against an older configuration after updates in any order", (t) => {
  const change = fc.nat(9).map((version): CatalogChange => ({
    type: "document",
    document: makeDocument(version),
  }));
  fc.assert(
    fc.property(makeUpdates(change), (all) => {
      const catalog = createCatalog({ zones: ZONES });
      let newest = -1;
      for (const received of all) {
        const isBehind = received.version < catalog.position.orders;
        applyReceived(catalog, "orders", received, 0);
        for (const change of isBehind ? [] : received.changes) {
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

/** Zone of each start of a server; zone x-9 is not in the installation. */
const START_ZONES = ["a-1", "b-1", "x-9", "a-2", "b-1"];

// A request would be placed by the region that a restarted server left.
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
    fc.property(makeUpdates(change), (all) => {
      const catalog = createCatalog({ zones: ZONES });
      let nowMs = 0;
      let newest = -1;
      for (const received of all) {
        nowMs += received.afterMs;
        const isBehind = received.version < catalog.position.servers;
        applyReceived(catalog, "servers", received, nowMs);
        for (const change of isBehind ? [] : received.changes) {
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

/** Servers in one update, and number of updates; together they exceed the
 * capacity of the change log. */
const BULK = 700;
const UPDATES = 20;

test("guards against a change that a full log evicts before a follower has it", (t) => {
  const pulls = fc.uniqueArray(fc.nat(UPDATES - 1), { maxLength: 2 });
  const documents = fc.uniqueArray(fc.nat(UPDATES - 1), { maxLength: 3 });
  fc.assert(
    fc.property(pulls, documents, (pulledAt, documentAt) => {
      const source = createCatalog({ zones: ZONES });
      const follower = createCatalog({ zones: ZONES });
      const pull = () =>
        follower.applyDelta(source.changesSince(follower.position, 0), 0);
      for (let index = 0; index < UPDATES; index++) {
        const version = index + 1;
        const document = makeDocument(version);
        const changes: CatalogChange[] = documentAt.includes(index)
          ? [{ type: "document", document }]
          : [];
        const update = { version, isComplete: false, changes };
        source.applyTable("orders", update, 0);
        const servers = [...Array(BULK).keys()].map((offset) => {
          const zone = ZONE_NAMES[(offset + index) % ZONE_NAMES.length]!;
          // Some ids repeat those of the previous update, as restarts.
          const id = `s${index * (BULK - 50) + offset}`;
          const record = makeServer(id, { bornMs: version, zone });
          return { type: "server" as const, record };
        });
        source.applyTable("servers", { ...update, changes: servers }, 0);
        if (pulledAt.includes(index)) pull();
      }
      pull();
      const describe = (catalog: Catalog) =>
        catalog.findServers("desk", 0)
          .map(({ record, region }) => `${record.id} ${region}`).sort();
      t.deepEqual(describe(follower), describe(source));
      t.is(follower.document?.version, source.document?.version);
    }),
    { seed: SEED, numRuns: 12 },
  );
});

// A follower may switch to a source that lags behind.
test("guards against crash notes that followers miss, or that reappear after removal", (t) => {
  const note: CrashNote = {
    key: "f/s1/1",
    type: "crash",
    fingerprint: "f",
    service: "desk",
    server: "s1",
    software: "v1",
    entry: "n1",
    atMs: 1,
  };
  const [reader, older, follower] = [0, 1, 2].map(() =>
    createCatalog({ zones: ZONES })
  );
  const read = (version: number, changes: readonly CatalogChange[]) =>
    reader!.applyTable(
      "crashes",
      { version, isComplete: version === 1, changes },
      0,
    );
  const follow = (from: Catalog, to: Catalog) =>
    to.applyDelta(from.changesSince(to.position, 0), 0);
  read(1, []);
  read(2, [{ type: "crash_note", note }]);
  follow(reader!, older!);
  follow(older!, follower!);
  t.is(follower!.crashNotes.listFor("f").length, 1);
  read(3, [{ type: "crash_note_removed", key: note.key }]);
  follow(reader!, follower!);
  t.is(follower!.crashNotes.size, 0);
  follow(older!, follower!);
  t.is(follower!.crashNotes.size, 0);
  // Entries of earlier versions do not share crashes.
  const { servers, orders } = older!.changesSince(follower!.position, 0);
  follower!.applyDelta({ servers, orders }, 0);
  t.is(follower!.position.crashes, 3);
});
