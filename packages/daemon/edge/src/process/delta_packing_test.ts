import test from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import { buildDocument, buildRoute, buildServer } from "../edge_fixture.ts";
import { createDeltaPacker, unpackDelta } from "./delta_packing.ts";

/** Number of routes: those that `big_config` days of a grown installation add,
 * and some more. */
const ROUTES = 1_500;

/** Bytes that the link of the smallest instance carries in 100 ms at 7 Mbit/s;
 * the rest of the time for a pull is left for the processors of both
 * instances. */
const MAX_BYTES = 87_500;

function buildLargeDocument() {
  const routes = Array.from({ length: ROUTES }, (_item, index) => {
    const name = (index * 2_654_435_761 % 2 ** 32).toString(36);
    return buildRoute({ name: `r-${name}`, prefix: `/${name}/` });
  });
  return buildDocument(7, routes);
}

function describeChanges(document = buildLargeDocument()) {
  const catalog = createCatalog({ zones: {} });
  catalog.applyTable("orders", {
    version: 3,
    isComplete: true,
    changes: [
      { type: "evacuation", zone: "a-1" },
      { type: "document", document },
    ],
  }, 0);
  return catalog.changesSince({ servers: 0, orders: 0 }, 0);
}

// An entry whose link needs longer than the timeout of a pull would never
// receive a change.
test("guards against a large configuration that entries on small instances can't pull in time", (t) => {
  const { document } = createDeltaPacker().pack(describeChanges());
  t.log(`${document?.byteLength} bytes`);
  t.true((document?.byteLength ?? Infinity) <= MAX_BYTES);
});

test("guards against changes that are lost or altered by packing", (t) => {
  const delta = describeChanges();
  const packed = createDeltaPacker().pack(delta);
  const copy = structuredClone(packed);
  const byType = (changes: readonly { readonly type: string }[]) =>
    [...changes].sort((a, b) => a.type < b.type ? -1 : 1);
  const restored = unpackDelta(copy)!;
  t.deepEqual(
    byType(restored.orders.changes),
    byType(delta.orders.changes),
  );
  t.deepEqual(restored.servers, delta.servers);
});

// Packing takes milliseconds, and each entry of a region requests the delta.
test("guards against a configuration that is packed again for each entry", (t) => {
  const packer = createDeltaPacker();
  const document = buildLargeDocument();
  const first = packer.pack(describeChanges(document));
  t.is(packer.pack(describeChanges(document)).document, first.document);
  const next = { ...document, version: 8 };
  t.not(packer.pack(describeChanges(next)).document, first.document);
});

test("guards against malformed bytes in place of a configuration or list", (t) => {
  const delta = describeChanges();
  const bytes = new Uint8Array([1, 2, 3]);
  t.is(unpackDelta({ delta, document: bytes }), undefined);
  t.is(unpackDelta({ delta, servers: bytes }), undefined);
});

/** Number of servers of a grown installation. */
const SERVERS = 693;

function describeServers() {
  const catalog = createCatalog({ zones: { "a-1": "a" } });
  const changes = [...Array(SERVERS).keys()].map((index) => ({
    type: "server" as const,
    record: buildServer(`i-${index * 40_503}`, `10.0.0.${index % 250}:9100`),
  }));
  catalog.applyTable("servers", { version: 9, isComplete: true, changes }, 0);
  return catalog.changesSince({ servers: 1, orders: 0 }, 0);
}

// After the store has lost its change history, all entries receive the whole
// list, and a configuration in the same answer must not be delayed by it.
test("guards against a list of all servers that entries on small instances can't pull in time", (t) => {
  const packer = createDeltaPacker();
  const delta = describeServers();
  const packed = packer.pack(delta);
  t.log(`${packed.servers?.byteLength} bytes`);
  t.true((packed.servers?.byteLength ?? Infinity) <= MAX_BYTES);
  t.deepEqual(packed.delta.servers.changes, []);
  t.is(packer.pack(describeServers()).servers, packed.servers);
  t.deepEqual(unpackDelta(structuredClone(packed)), delta);
});
