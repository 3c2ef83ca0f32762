/**
 * Packs the sums of loads for the entries that ask for them.
 *
 * Sums have a byte for each server, and all entries of a region ask for the
 * same ones several times a second, so with thousands of servers they are most
 * of what entries exchange. Nearly all counts are below the slots of a server,
 * so they pack well, and they are packed once for all that ask.
 *
 * @module
 */

import type { LoadCounts, PackedLoads } from "@dotterelmoor/core.load_sharing";
import { packValue, unpackValue } from "@dotterelmoor/network.peering";
import type { LoadSumsMessage } from "@dotterelmoor/network.peering";

/** Servers from which packing saves more bytes than its time is worth. */
const LEAST_PACKED = 256;

const NONE = new Uint8Array();

/** Sums as they travel. */
export type SentLoads = Pick<LoadSumsMessage, "loads" | "counts">;

/** Packs sums; the bytes of the latest ones are kept. */
export interface LoadPacker {
  /** Packs what the board made of sums. */
  pack(loads: PackedLoads, sums: LoadCounts): SentLoads;
}

/** Creates a packer. */
export function createLoadPacker(): LoadPacker {
  let latest: { readonly sums: LoadCounts; readonly bytes: Uint8Array };
  return {
    pack: (loads, sums) => {
      if (loads.counts.length < LEAST_PACKED) return { loads };
      if (latest?.sums !== sums) {
        latest = { sums, bytes: packValue(loads.counts) };
      }
      return { loads: { ...loads, counts: NONE }, counts: latest.bytes };
    },
  };
}

/** Restores sums; undefined if they cannot be read. */
export function unpackLoads(
  { loads, counts }: SentLoads,
): PackedLoads | undefined {
  if (counts === undefined) return loads;
  const unpacked = unpackValue(counts);
  return unpacked instanceof Uint8Array
    ? { ...loads, counts: unpacked }
    : undefined;
}
