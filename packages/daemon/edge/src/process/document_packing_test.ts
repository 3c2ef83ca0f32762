import test from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import { buildDocument, buildRoute } from "../edge_fixture.ts";
import { createDocumentPacker, unpackDelta } from "./document_packing.ts";

/** Routes that `big_config` days of a grown installation add, and some more. */
const ROUTES = 1_500;

/** Bytes that the smallest instance's link carries in 100 ms at 7 Mbit/s; the
 * rest of the time for a pull is for both instances' processors. */
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

// Entries whose link takes longer than a pull would never learn of a change.
test("guards against a large configuration that small instances cannot pull in time", (t) => {
  const { document } = createDocumentPacker().pack(describeChanges());
  t.log(`${document?.byteLength} bytes`);
  t.true((document?.byteLength ?? Infinity) <= MAX_BYTES);
});

test("guards against changes that are lost or altered on the way", (t) => {
  const delta = describeChanges();
  const packed = createDocumentPacker().pack(delta);
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

// Packing takes milliseconds, and each entry of a region asks.
test("guards against a configuration that is packed for each entry that asks", (t) => {
  const packer = createDocumentPacker();
  const document = buildLargeDocument();
  const first = packer.pack(describeChanges(document));
  t.is(packer.pack(describeChanges(document)).document, first.document);
  const next = { ...document, version: 8 };
  t.not(packer.pack(describeChanges(next)).document, first.document);
});

test("guards against bytes that are no configuration", (t) => {
  const delta = { ...describeChanges() };
  const bytes = new Uint8Array([1, 2, 3]);
  t.is(unpackDelta({ delta, document: bytes }), undefined);
});
