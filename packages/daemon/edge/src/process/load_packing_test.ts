import test from "ava";
import {
  createLoadBoard,
  createLoadReader,
} from "@dotterelmoor/core.load_sharing";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createLoadPacker, unpackLoads } from "./load_packing.ts";

const SEED = 20261204;

/** Servers and entries of a large region's installation. */
const SERVERS = 3_000;

/** Bytes a second of an entry for control, and sums that it gets a second; half
 * is left for reports, membership and the catalog. */
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

/** Sums as a reader gets them that knows all servers. */
function sendSums(servers: number) {
  const board = createLoadBoard({ numbering: "p1" });
  const reader = createLoadReader();
  const packer = createLoadPacker();
  const sums = buildSums(servers);
  reader.read(board.pack(sums, reader.known));
  const sent = packer.pack(board.pack(sums, reader.known), sums);
  return { sums, sent, reader, packer, board };
}

// Each entry asks for them five times a second, and the first of a region
// answers all of the others.
test("guards against sums whose bytes grow with the servers beyond what an entry may use", (t) => {
  const { sums, sent, reader } = sendSums(SERVERS);
  const bytes = sent.counts!.length + sent.loads.counts.length;
  t.true(bytes < MAX_SUMS_BYTES, `${bytes} bytes`);
  t.deepEqual(sent.loads.servers, []);
  t.deepEqual(reader.read(unpackLoads(sent)!), sums);
});

test("guards against sums that are packed for each entry that asks", (t) => {
  const { sums, sent, reader, packer, board } = sendSums(SERVERS);
  const again = packer.pack(board.pack(sums, reader.known), sums);
  t.is(again.counts, sent.counts);
  const newer = buildSums(SERVERS);
  newer.set("i-0", 9);
  const other = packer.pack(board.pack(newer, reader.known), newer);
  t.is(reader.read(unpackLoads(other)!)?.get("i-0"), 9);
});

test("guards against the time for packing where there are few servers", (t) => {
  const { sums, sent, reader } = sendSums(48);
  t.is(sent.counts, undefined);
  t.deepEqual(reader.read(unpackLoads(sent)!), sums);
});

test("guards against bytes that are no counts", (t) => {
  const { sent } = sendSums(SERVERS);
  t.is(unpackLoads({ ...sent, counts: Uint8Array.of(1, 2, 3) }), undefined);
});
