import test from "ava";
import fc from "fast-check";
import { createClientBlockTable, parseIpv4 } from "./mod.ts";

const SEED = 20_261_204;

/** Blocks from a small space, so that many of them nest or repeat. */
const blockArbitrary = fc.record({
  high: fc.integer({ min: 0, max: 3 }),
  low: fc.integer({ min: 0, max: 255 }),
  bits: fc.integer({ min: 0, max: 32 }),
  region: fc.constantFrom("a", "b", "c"),
}).map(({ high, low, bits, region }) => ({
  block: `${high * 85}.0.${low}.${(low * 7) % 256}/${bits}`,
  region,
}));

/** Linear scan for the narrowest block that covers an address; the last one of
 * equal blocks wins. */
function scan(
  blocks: readonly { block: string; region: string }[],
  address: number,
): string | undefined {
  let best: string | undefined;
  let bestBits = -1;
  for (const { block, region } of blocks) {
    const [base, bits] = block.split("/") as [string, string];
    const size = 2 ** (32 - Number(bits));
    const covers = Math.floor(address / size) ===
      Math.floor(parseIpv4(base)! / size);
    if (covers && Number(bits) >= bestBits) {
      best = region;
      bestBits = Number(bits);
    }
  }
  return best;
}

// Errors in splitting nested blocks give addresses the region of a wrong block.
test("guards against a block table that differs from a linear scan", (t) => {
  const property = fc.property(
    fc.array(blockArbitrary, { maxLength: 40 }),
    fc.array(fc.nat({ max: 2 ** 32 - 1 }), { maxLength: 10 }),
    (blocks, others) => {
      const table = createClientBlockTable(blocks);
      const edges = blocks.flatMap(({ block }) => {
        const [base, bits] = block.split("/") as [string, string];
        const size = 2 ** (32 - Number(bits));
        const start = Math.floor(parseIpv4(base)! / size) * size;
        return [start - 1, start, start + size - 1, start + size];
      });
      return [0, 2 ** 32 - 1, ...edges, ...others]
        .filter((address) => address >= 0 && address < 2 ** 32)
        .every((address) => table.find(address) === scan(blocks, address));
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 2_000 });
  t.pass();
});

test("guards against accepting invalid addresses or blocks", (t) => {
  const table = createClientBlockTable([
    { block: "203.0.113.7", region: "one" },
    { block: "203.0.113.0/24", region: "many" },
    { block: "300.0.0.0/8", region: "none" },
    { block: "10.0.0.0/40", region: "none" },
  ]);
  t.is(table.find("203.0.113.7"), "one");
  t.is(table.find("203.0.113.8"), "many");
  t.is(table.size, 3);
  const wrong = ["", "1.2.3", "1.2.3.4.5", "1..3.4", "256.1.1.1", "::1", "a"];
  t.deepEqual(
    wrong.map((text) => table.find(text)),
    wrong.map(() => undefined),
  );
  t.is(createClientBlockTable([]).find("1.2.3.4"), undefined);
});
