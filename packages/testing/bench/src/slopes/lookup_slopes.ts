/**
 * Cost of lookups: searches in the client-block table and complete answers.
 *
 * @module
 */

import {
  buildGroupKey,
  buildLookupAnswer,
  createClientBlockTable,
} from "@dotterelmoor/core.steering";
import type { GroupView, SteeringMember } from "@dotterelmoor/core.steering";
import type { Measurement } from "./measurement.ts";
import { toMeasurement } from "./measurement.ts";
import { buildBlocks, buildSnapshot, createRandom } from "./samples.ts";

const BLOCK_COUNTS = [1_000, 10_000, 100_000, 900_000];
const LOOKUPS = 1_000_000;
const MEMBER_COUNTS = [6, 30, 117, 820];
const ANSWERS = 30_000;

/**
 * Measures search time, build time and memory of the client-block table against
 * the number of blocks.
 */
export function measureBlockSlopes(seed: number): Measurement[] {
  const rows = BLOCK_COUNTS.map((size) => measureBlocks(size, seed));
  const points = (value: (row: (typeof rows)[number]) => number) =>
    rows.map((row) => ({ size: row.size, value: value(row) }));
  const blocks = { sizeName: "blocks" };
  return [
    toMeasurement("client-block search", points((row) => row.searchNs), {
      ...blocks,
      unit: "ns",
      scale: "log2",
      timed: true,
    }),
    toMeasurement("client-block table build", points((row) => row.buildMs), {
      ...blocks,
      unit: "ms",
      timed: true,
    }),
    toMeasurement("client-block table", points((row) => row.bytes), {
      ...blocks,
      unit: "bytes",
    }),
    toMeasurement("client-block ranges", points((row) => row.ranges), {
      ...blocks,
      unit: "ranges",
    }),
  ];
}

/** Measures the time per lookup answer against the number of members. */
export function measureAnswerSlopes(seed: number): Measurement[] {
  const rows = MEMBER_COUNTS.map((size) => ({
    size,
    value: measureAnswerMicros(size, seed),
  }));
  return [
    toMeasurement("lookup answer, without HTTP", rows, {
      sizeName: "members of the region",
      unit: "µs",
      timed: true,
    }),
  ];
}

function measureBlocks(size: number, seed: number) {
  const random = createRandom(seed);
  const startedMs = performance.now();
  const table = createClientBlockTable(buildBlocks(size, random));
  const buildMs = performance.now() - startedMs;
  const clients = new Float64Array(4_096)
    .map(() => Math.floor(random() * 2 ** 32));
  let found = 0;
  const searchMs = measureShortestMs(3, () => {
    for (let n = 0; n < LOOKUPS; n += 1) {
      if (table.find(clients[n & 4_095]!) !== undefined) found += 1;
    }
  });
  if (found === 0) throw new Error("Cannot find any address in a block");
  return {
    size,
    searchNs: searchMs * 1_000_000 / LOOKUPS,
    buildMs,
    bytes: table.byteLength,
    ranges: table.size,
  };
}

function measureAnswerMicros(size: number, seed: number): number {
  const random = createRandom(seed);
  const blocks = createClientBlockTable(buildBlocks(900_000, random));
  const snapshot = buildSnapshot(1, { services: 4, regions: 7 });
  const members = buildMembers(size);
  const groups = buildGroups();
  const clients = Array.from(
    { length: 1_024 },
    () => [0, 0, 0, 0].map(() => Math.floor(random() * 256)).join("."),
  );
  const elapsedMs = measureShortestMs(3, () => {
    for (let n = 0; n < ANSWERS; n += 1) {
      const client = clients[n & 1_023]!;
      buildLookupAnswer({
        service: "service-2",
        client,
        homeRegion: blocks.find(client) ?? "region-0",
        snapshot,
        members,
        groups,
        nowMs: n,
      });
    }
  });
  return elapsedMs * 1_000 / ANSWERS;
}

/** Builds the members of one region and 16 entries in each of 6 others. */
function buildMembers(size: number): SteeringMember[] {
  const counts = [size, 16, 16, 16, 16, 16, 16];
  return counts.flatMap((count, region) =>
    Array.from({ length: count }, (_, n) => ({
      processId: `process-${region}-${n}`,
      callerAddress: `10.${region}.0.${n}:8080`,
      region: `region-${region}`,
      zone: `region-${region}-${n % 4}`,
      state: "alive" as const,
    }))
  );
}

function buildGroups(): Map<string, GroupView> {
  const groups = new Map<string, GroupView>();
  for (let region = 0; region < 7; region += 1) {
    const state = {
      ownerProcess: `process-${region}-1`,
      owner: 1,
      fence: 1,
      address: "10.0.0.1:7000",
      queueMs: 3,
      open: true,
      sequence: 1,
    };
    const key = buildGroupKey("service-2", `region-${region}`);
    groups.set(key, { state, ageMs: 100, fresh: true });
  }
  return groups;
}

/** Returns the shortest of several runs, which other load delays the least. */
function measureShortestMs(runs: number, run: () => void): number {
  let bestMs = Infinity;
  for (let n = 0; n < runs; n += 1) {
    const startedMs = performance.now();
    run();
    bestMs = Math.min(bestMs, performance.now() - startedMs);
  }
  return bestMs;
}
