import test from "ava";
import {
  createLoadAggregator,
  createLoadReader,
} from "@dotterelmoor/core.load_sharing";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createLoadPacker, unpackLoads } from "./load_packing.ts";

const SEED = 20261204;

/** Number of servers of a large installation. */
const SERVERS = 3_000;

/** Bytes per second that an entry may use for control traffic, and sums that it
 * receives per second; half of the bytes are left for reports, membership and
 * the catalog. */
const CONTROL_BYTES_PER_S = 12_000;
const SUMS_PER_S = 5;
const MAX_SUMS_BYTES = CONTROL_BYTES_PER_S / SUMS_PER_S / 2;

function buildSums(servers: number): Map<string, number> {
  const generator = xoroshiro128plus(SEED);
  const sums = new Map<string, number>();
  for (let index = 0; index < servers; index++) {
    const count = uniformInt(generator, 0, 5);
    if (count > 0) sums.set(`i-${index}`, count);
  }
  return sums;
}

/** Packs sums for a reader that knows all servers already. */
function sendSums(servers: number) {
  const board = createLoadAggregator({ numbering: "p1" });
  const reader = createLoadReader();
  const packer = createLoadPacker();
  const sums = buildSums(servers);
  reader.read(board.pack(sums, reader.known));
  const sent = packer.pack(board.pack(sums, reader.known), sums);
  return { sums, sent, reader, packer, board };
}

// Each entry requests them five times per second, and the aggregator of a
// region answers all of the others.
test("guards against sums of many servers that exceed an entry's share of control traffic", (t) => {
  const { sums, sent, reader } = sendSums(SERVERS);
  const bytes = sent.counts!.length + sent.loads.counts.length;
  t.true(bytes < MAX_SUMS_BYTES, `${bytes} bytes`);
  t.deepEqual(sent.loads.servers, []);
  t.deepEqual(reader.read(unpackLoads(sent)!), sums);
});

test("guards against sums that are packed again for each entry", (t) => {
  const { sums, sent, reader, packer, board } = sendSums(SERVERS);
  const again = packer.pack(board.pack(sums, reader.known), sums);
  t.is(again.counts, sent.counts);
  const newer = buildSums(SERVERS);
  newer.set("i-0", 9);
  const other = packer.pack(board.pack(newer, reader.known), newer);
  t.is(reader.read(unpackLoads(other)!)?.get("i-0"), 9);
});

test("guards against packing that costs more time than it saves with few servers", (t) => {
  const { sums, sent, reader } = sendSums(48);
  t.is(sent.counts, undefined);
  t.deepEqual(reader.read(unpackLoads(sent)!), sums);
});

test("guards against malformed bytes in place of counts", (t) => {
  const { sent } = sendSums(SERVERS);
  t.is(unpackLoads({ ...sent, counts: Uint8Array.of(1, 2, 3) }), undefined);
});
