/**
 * Table of client blocks (blocks of caller addresses), in typed arrays.
 *
 * @module
 */

import type { ClientBlock } from "@dotterelmoor/core.types";

/** Maps caller addresses to the nearest region; built once per snapshot. */
export interface ClientBlockTable {
  /** Number of disjoint address ranges. */
  readonly size: number;
  /** Size of the typed arrays in bytes. */
  readonly byteLength: number;
  /** Returns the region of the narrowest block that covers an address, given as
   * dotted text or number; undefined if no block does or it is invalid. */
  find(ipv4: string | number): string | undefined;
}

/** Region index that stands for addresses that no block covers. */
const NO_REGION = 0xffff;
const ADDRESSES = 2 ** 32;

/**
 * Builds the table. Blocks may nest: the narrowest one wins, and the last one
 * of equal blocks. Invalid blocks are skipped without an error, because
 * documents are validated before they are accepted.
 */
export function createClientBlockTable(
  blocks: Iterable<ClientBlock>,
): ClientBlockTable {
  const regions: string[] = [];
  const parsed = parseBlocks(blocks, regions);
  const ranges = resolveNesting(parsed);
  const { starts, ends, regionIndexes } = ranges;
  return {
    size: starts.length,
    byteLength: starts.byteLength + ends.byteLength + regionIndexes.byteLength,
    find(ipv4) {
      const address = typeof ipv4 === "number" ? ipv4 : parseIpv4(ipv4);
      if (address === undefined) return undefined;
      const index = findLastStart(starts, address);
      if (index < 0 || address > ends[index]!) return undefined;
      return regions[regionIndexes[index]!];
    },
  };
}

/** Parses a dotted IPv4 address into a number; undefined if it is invalid. */
export function parseIpv4(text: string): number | undefined {
  let address = 0;
  let part = -1;
  let dots = 0;
  for (let n = 0; n < text.length; n += 1) {
    const code = text.charCodeAt(n);
    if (code === 46 && part >= 0 && dots < 3) {
      address = address * 256 + part;
      part = -1;
      dots += 1;
    } else if (code >= 48 && code <= 57) {
      part = (part < 0 ? 0 : part * 10) + code - 48;
      if (part > 255) return undefined;
    } else {
      return undefined;
    }
  }
  return dots === 3 && part >= 0 ? address * 256 + part : undefined;
}

interface Blocks {
  count: number;
  starts: Uint32Array;
  ends: Uint32Array;
  regionIndexes: Uint16Array;
}

interface Ranges {
  readonly starts: Uint32Array;
  readonly ends: Uint32Array;
  readonly regionIndexes: Uint16Array;
}

function parseBlocks(
  blocks: Iterable<ClientBlock>,
  regions: string[],
): Blocks {
  const indexes = new Map<string, number>();
  let parsed = allocate(1_024);
  for (const { block, region } of blocks) {
    const range = parseBlock(block);
    if (!range) continue;
    let regionIndex = indexes.get(region);
    if (regionIndex === undefined) {
      regionIndex = regions.push(region) - 1;
      indexes.set(region, regionIndex);
    }
    if (parsed.count === parsed.starts.length) parsed = grow(parsed);
    parsed.starts[parsed.count] = range[0];
    parsed.ends[parsed.count] = range[1];
    parsed.regionIndexes[parsed.count] = regionIndex;
    parsed.count += 1;
  }
  return parsed;
}

function parseBlock(block: string): [number, number] | undefined {
  const slash = block.indexOf("/");
  const address = parseIpv4(slash < 0 ? block : block.slice(0, slash));
  const bits = slash < 0 ? 32 : Number(block.slice(slash + 1));
  if (address === undefined || !Number.isInteger(bits)) return undefined;
  if (bits < 0 || bits > 32) return undefined;
  const size = 2 ** (32 - bits);
  const start = address - address % size;
  return [start, start + size - 1];
}

function allocate(size: number): Blocks {
  return {
    count: 0,
    starts: new Uint32Array(size),
    ends: new Uint32Array(size),
    regionIndexes: new Uint16Array(size),
  };
}

function grow(blocks: Blocks): Blocks {
  const larger = allocate(blocks.starts.length * 2);
  larger.count = blocks.count;
  larger.starts.set(blocks.starts);
  larger.ends.set(blocks.ends);
  larger.regionIndexes.set(blocks.regionIndexes);
  return larger;
}

/** Splits outer blocks around inner ones into disjoint ranges, so that one
 * binary search finds the narrowest block. */
function resolveNesting(blocks: Blocks): Ranges {
  const order = sortBlocks(blocks);
  const ranges = allocate(Math.max(1, blocks.count * 2 + 1));
  const open: number[] = [];
  let position = 0;
  const emit = (end: number, regionIndex: number) => {
    if (end < position) return;
    const last = ranges.count - 1;
    if (
      last >= 0 && ranges.regionIndexes[last] === regionIndex &&
      ranges.ends[last] === position - 1
    ) {
      ranges.ends[last] = end;
    } else if (regionIndex !== NO_REGION) {
      ranges.starts[ranges.count] = position;
      ranges.ends[ranges.count] = end;
      ranges.regionIndexes[ranges.count] = regionIndex;
      ranges.count += 1;
    }
    position = end + 1;
  };
  const closeUntil = (start: number) => {
    while (open.length > 0 && blocks.ends[open.at(-1)!]! < start) {
      const block = open.pop()!;
      emit(blocks.ends[block]!, blocks.regionIndexes[block]!);
    }
  };
  for (const block of order) {
    const start = blocks.starts[block]!;
    closeUntil(start);
    const outer = open.at(-1);
    emit(
      start - 1,
      outer === undefined ? NO_REGION : blocks.regionIndexes[outer]!,
    );
    open.push(block);
  }
  closeUntil(ADDRESSES);
  return trim(ranges);
}

function trim({ count, starts, ends, regionIndexes }: Blocks): Ranges {
  return {
    starts: starts.slice(0, count),
    ends: ends.slice(0, count),
    regionIndexes: regionIndexes.slice(0, count),
  };
}

/** Sorts by start, outer blocks before inner ones. */
function sortBlocks({ count, starts, ends }: Blocks): Uint32Array {
  const order = new Uint32Array(count);
  for (let n = 0; n < count; n += 1) order[n] = n;
  return order.sort((a, b) =>
    starts[a]! - starts[b]! || ends[b]! - ends[a]! || a - b
  );
}

/** Returns the index of the last start that is not above the address, or -1. */
function findLastStart(starts: Uint32Array, address: number): number {
  let low = 0;
  let high = starts.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (starts[middle]! <= address) low = middle + 1;
    else high = middle;
  }
  return low - 1;
}
