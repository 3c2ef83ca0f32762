import test from "ava";
import { BodyBuffer } from "./body_buffer.ts";

test("guards against parts that are lost, reordered or overwritten", (t) => {
  const buffer = new BodyBuffer();
  t.is(buffer.take().length, 0);
  const parts = [1, 1, 3, 0, 100, 2, 5_000, 1].map((length, index) =>
    Buffer.alloc(length, index + 1)
  );
  const copies = parts.map((part) => Buffer.from(part));
  parts.forEach((part, index) => {
    buffer.append(part);
    const body = Buffer.concat(copies.slice(0, index + 1));
    t.deepEqual(Buffer.from(buffer.take()), body);
  });
  t.deepEqual(parts, copies);
});

test("guards against bytes that are lost after an empty first part", (t) => {
  const buffer = new BodyBuffer();
  for (const text of ["", "a", "", "bc"]) buffer.append(Buffer.from(text));
  t.is(Buffer.from(buffer.take()).toString(), "abc");
});
