import test from "ava";
import { Network } from "./simulated_network.ts";
import type { Node } from "./simulated_network.ts";

/** Number of entries in the largest region of a grown installation. */
const REGION_SIZE = 48;

/**
 * A change must be in force everywhere within 3 s; the reader takes up to 0.5 s
 * to read it.
 */
const LIMIT_MS = 2_500;

/** The timings that the edge sets. */
const TIMINGS = {
  probeIntervalMs: 600,
  probeTimeoutMs: 250,
  suspicionMs: 1_200,
  gossipIntervalMs: 600,
  contactFreshMs: 4_000,
};

/** Returns the round-trip time between two nodes in milliseconds. */
function getRttMs(from: Node, to: Node): number {
  return from.region === to.region ? 4 : 75;
}

/**
 * Spreads a version from three entries of one region and returns the time in
 * milliseconds until all entries have it. The others cannot read the store and
 * fetch the version from the entry that announced it to them.
 */
function measureSpread(seed: number): number {
  const network = new Network({
    seed,
    regions: 3,
    size: REGION_SIZE,
    timings: TIMINGS,
  });
  const versions = new Map<Node, number>();
  const arrivals: { atMs: number; node: Node; version: number }[] = [];
  const setVersion = (node: Node, version: number) => {
    versions.set(node, version);
    network.apply(node, { type: "set_digest", sequence: version });
  };
  for (const node of network.running()) setVersion(node, 1);
  network.runFor(20_000);
  network.onDigest = (node, address, version) => {
    if (version <= (versions.get(node) ?? 0)) return;
    const sender = network.get(address);
    const atMs = network.nowMs + getRttMs(node, sender);
    arrivals.push({ atMs, node, version });
  };
  for (const id of ["r0n5", "r0n6", "r0n7"]) setVersion(network.get(id), 2);
  const startMs = network.nowMs;
  while (network.nowMs < startMs + 20_000) {
    network.runFor(10);
    for (const { atMs, node, version } of arrivals.splice(0)) {
      if (atMs <= network.nowMs) setVersion(node, version);
      else arrivals.push({ atMs, node, version });
    }
    if ([...versions.values()].every((version) => version === 2)) break;
  }
  return network.nowMs - startMs;
}

for (const seed of [1, 2, 3, 4, 5]) {
  // The entries that read the store may be cut off from those of other regions.
  test(`guards against a change that stays in the region that reads it, seed ${seed}`, (t) => {
    const spreadMs = measureSpread(seed);
    t.log(`${3 * REGION_SIZE} entries after ${spreadMs} ms`);
    t.true(spreadMs <= LIMIT_MS, `${spreadMs} ms`);
  });
}
