/**
 * Compresses load sums for transfer between entries.
 *
 * Sums take one byte per server, and all entries of a region request the same
 * sums several times a second, so with thousands of servers they are most of
 * the traffic between entries. Nearly all counts are below the slots of a
 * server, so they compress well, and they are compressed once for all entries
 * that ask.
 *
 * @module
 */

import type { LoadCounts, PackedLoads } from "@dotterelmoor/core.load_sharing";
import { packValue, unpackValue } from "@dotterelmoor/network.peering";
import type { LoadSumsMessage } from "@dotterelmoor/network.peering";

/** Number of servers from which the saved bytes are worth the time to
 * compress. */
const MIN_PACKED_SERVERS = 256;

const EMPTY_COUNTS = new Uint8Array();

/** The parts of a message that hold load sums. */
export type SentLoads = Pick<LoadSumsMessage, "loads" | "counts">;

/** Packs load sums; caches the bytes of the latest ones. */
export interface LoadPacker {
  /** Packs loads that a board has built from `sums`; the identity of `sums` is
   * the key of the cache. */
  pack(loads: PackedLoads, sums: LoadCounts): SentLoads;
}

/** Creates a packer with an empty cache. */
export function createLoadPacker(): LoadPacker {
  let latest: { readonly sums: LoadCounts; readonly bytes: Uint8Array };
  return {
    pack: (loads, sums) => {
      if (loads.counts.length < MIN_PACKED_SERVERS) return { loads };
      if (latest?.sums !== sums) {
        latest = { sums, bytes: packValue(loads.counts) };
      }
      return {
        loads: { ...loads, counts: EMPTY_COUNTS },
        counts: latest.bytes,
      };
    },
  };
}

/** Restores loads; undefined if their counts are malformed. */
export function unpackLoads(
  { loads, counts }: SentLoads,
): PackedLoads | undefined {
  if (counts === undefined) return loads;
  const unpacked = unpackValue(counts);
  return unpacked instanceof Uint8Array
    ? { ...loads, counts: unpacked }
    : undefined;
}
