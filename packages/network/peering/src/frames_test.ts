import test from "ava";
import fc from "fast-check";
import { decodeFrame, encodeFrame, FrameReader } from "./frames.ts";

const SEED = 90_210;
const MAX = 5 * 1024 * 1024;

test("guards against frames that depend on how TCP splits them", (t) => {
  const values = fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 8 });
  fc.assert(
    fc.property(
      values,
      fc.array(fc.integer({ min: 1, max: 40 })),
      (v, cuts) => {
        const stream = Buffer.concat(
          v.map((body) => encodeFrame({ body }, MAX)!),
        );
        const reader = new FrameReader(MAX);
        const read: unknown[] = [];
        for (let at = 0, i = 0; at < stream.length; i++) {
          const size = cuts[i] ?? stream.length;
          reader.add(stream.subarray(at, at + size));
          at += size;
          for (let part = reader.take(); part; part = reader.take()) {
            read.push(decodeFrame(part));
          }
        }
        t.deepEqual(read, v.map((body) => ({ body: Buffer.from(body) })));
      },
    ),
    { seed: SEED },
  );
});
