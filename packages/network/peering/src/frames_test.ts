import test from "ava";
import fc from "fast-check";
import { decodeFrame, encodeFrame, FrameReader } from "./frames.ts";

const SEED = 90_210;
const MAX = 5 * 1024 * 1024;

test("guards against decoding that depends on how TCP splits the frames", (t) => {
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

test("guards against payloads that are not plain data", (t) => {
  const head = Buffer.from([0xa1, 0x61, 0x61]);
  const payloads: Record<string, Buffer> = {
    "cyclic reference": Buffer.from([0xd8, 28, 0x81, 0xd8, 29, 0]),
    "constructor call": encodeFrame(/a/, MAX)!.subarray(4),
    "endless array": Buffer.from([0x9f, 0xff]),
    "missing item": Buffer.from([0x82, 1]),
    "truncated string": Buffer.from([0x65, 0x61]),
    "second item": Buffer.from([1, 1]),
    "huge array": Buffer.from([0x9b, 0, 0, 0, 1, 0, 0, 0, 0, 1]),
    "deep array": Buffer.alloc(1_000_000, 0x81),
  };
  for (const [name, payload] of Object.entries(payloads)) {
    t.is(decodeFrame(Buffer.concat([head, payload])), undefined, name);
  }
  const value = fc.object({ withNullPrototype: false, maxDepth: 4 });
  fc.assert(
    fc.property(value, fc.uint8Array({ maxLength: 64 }), (plain, noise) => {
      const sent = { plain: JSON.parse(JSON.stringify(plain)), noise };
      const payload = encodeFrame(sent, MAX)!.subarray(4);
      const received = decodeFrame(payload) as typeof sent;
      t.is(JSON.stringify(received.plain), JSON.stringify(sent.plain));
      t.deepEqual(received.noise, Buffer.from(noise));
      t.notThrows(() => decodeFrame(Buffer.from(noise)));
    }),
    { seed: SEED },
  );
});
