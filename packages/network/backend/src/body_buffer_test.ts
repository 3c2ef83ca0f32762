import test from "ava";
import { BodyBuffer } from "./body_buffer.ts";
import { SEGMENT_BYTES, SegmentPool } from "./segment_pool.ts";

/** Lengths of parts, whose sums are below, at and above those of a block and of
 * several segments. */
const LENGTHS = [
  ...[1, 1, 3, 0, 100, 2, 5_000, 1],
  ...[SEGMENT_BYTES - 5_108, 1, SEGMENT_BYTES - 1, 7, 0, 3 * SEGMENT_BYTES, 1],
];

test("guards against parts that are lost, reordered or overwritten", (t) => {
  const pool = new SegmentPool(8 * SEGMENT_BYTES);
  const parts = LENGTHS.map((length, index) => Buffer.alloc(length, index + 1));
  const copies = parts.map((part) => Buffer.from(part));
  const taken: Uint8Array[] = [];
  for (let count = 0; count <= parts.length; count++) {
    const buffer = new BodyBuffer(pool);
    for (const part of parts.slice(0, count)) buffer.append(part);
    taken.push(buffer.take());
  }
  // Compared once all are taken, as a later body uses the same segments.
  taken.forEach((body, count) => {
    t.true(Buffer.concat(copies.slice(0, count)).equals(body), `${count}`);
  });
  t.deepEqual(parts, copies);
});

test("guards against bytes that are lost after an empty first part", (t) => {
  const buffer = new BodyBuffer(new SegmentPool(0));
  for (const text of ["", "a", "", "bc"]) buffer.append(Buffer.from(text));
  t.is(Buffer.from(buffer.take()).toString(), "abc");
});

// A segment that is put back twice would hold two bodies at a time.
test("guards against one segment in two bodies", (t) => {
  const pool = new SegmentPool(8 * SEGMENT_BYTES);
  const cleared = new BodyBuffer(pool);
  for (let index = 0; index < 4; index++) {
    cleared.append(Buffer.alloc(SEGMENT_BYTES, 1));
  }
  cleared.clear();
  cleared.clear();
  const segments = Array.from({ length: 8 }, () => pool.take());
  t.is(new Set(segments).size, segments.length);
});
