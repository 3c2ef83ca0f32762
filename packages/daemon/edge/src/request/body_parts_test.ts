import test from "ava";
import { BodyParts } from "./body_parts.ts";

/** Lengths of parts on both sides of the length from which one is kept. */
const LENGTHS = [3, 0, 1, 16_000, 400, 16_384, 1, 1, 65_536, 20_000, 9_000];

test("guards against parts that are lost, reordered or overwritten", (t) => {
  const parts = LENGTHS.map((length, index) => Buffer.alloc(length, index + 1));
  for (let count = 0; count <= parts.length; count++) {
    const body = new BodyParts();
    const appended = parts.slice(0, count);
    for (const part of appended) body.append(part);
    t.is(body.size, Buffer.concat(appended).length);
    const taken = body.take();
    t.true(
      Buffer.concat(taken instanceof Uint8Array ? [taken] : taken)
        .equals(Buffer.concat(appended)),
      `${count}`,
    );
  }
});

// Each part that is kept takes about 190 bytes beside its own.
test("guards against short parts that take many times their size", (t) => {
  const body = new BodyParts();
  for (let index = 0; index < 100_000; index++) body.append(Buffer.alloc(1));
  const taken = body.take();
  t.true(Array.isArray(taken) && taken.length < 10);
});
