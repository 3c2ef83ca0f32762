/**
 * Seeded random numbers and sample data of given sizes.
 *
 * @module
 */

import type {
  ClientBlock,
  ConfigurationSnapshot,
  ServiceDocument,
} from "@dotterelmoor/core.types";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Creates a seeded generator of numbers in [0, 1). */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Builds a configuration with one region and without services. */
export function buildEmptySnapshot(sequence: number): ConfigurationSnapshot {
  return buildSnapshot(sequence, { services: 0, regions: 1 });
}

/** Builds a configuration whose services are served in every region. */
export function buildSnapshot(
  sequence: number,
  options: { readonly services: number; readonly regions: number },
): ConfigurationSnapshot {
  const regions = Array.from(
    { length: options.regions },
    (_, n) => `region-${n}`,
  );
  const teams = Object.fromEntries(
    Array.from({ length: options.services }, (_, n) => [`team-${n}`, {
      team: `team-${n}`,
      services: [buildService(`service-${n}`, regions)],
    }]),
  );
  const limits = {
    maxDeadlineMs: 6_000,
    maxConcurrency: 1_000,
    maxShiftCap: 1_000,
  };
  const platform = {
    regions: regions.map((name) => ({
      name,
      zones: [0, 1, 2, 3].map((zone) => `${name}-${zone}`),
    })),
    links: regions.flatMap((from) =>
      regions.filter((to) => to !== from)
        .map((to) => ({ from, to, bitsPerSecond: 300_000_000 }))
    ),
    clientBlocks: [],
    limits,
  };
  return { sequence, platform, teams, drains: [] };
}

function buildService(name: string, regions: string[]): ServiceDocument {
  const kinds = ["query", "hold", "history"].map((kind) => ({
    name: kind,
    methods: ["GET", "POST"],
    pathPrefix: `/${kind}`,
    repeatable: kind !== "hold",
    keyHeader: "idempotency-key",
    priority: "normal" as const,
    deadlineMs: 2_000,
  }));
  return {
    name,
    regions,
    shift: { cap: 20, windowMs: 1_000, startShare: 0.2, stepShare: 0.2 },
    concurrency: Object.fromEntries(regions.map((region) => [region, 36])),
    linkShare: 0.3,
    kinds,
    retry: { ratio: 0.1, floor: 3, windowMs: 10_000 },
    drainMs: 6_000,
  };
}

/**
 * Yields random client blocks of 16 to 24 prefix bits, of which about one in
 * four lies inside another block.
 */
export function* buildBlocks(
  count: number,
  random: () => number,
): Generator<ClientBlock> {
  for (let n = 0; n < count; n += 1) {
    const bits = 16 + Math.floor(random() * 9);
    const address = Math.floor(random() * 2 ** 32);
    const parts = [24, 16, 8, 0].map((shift) => (address >>> shift) & 255);
    const region = `region-${Math.floor(random() * 7)}`;
    yield { block: `${parts.join(".")}/${bits}`, region };
  }
}
