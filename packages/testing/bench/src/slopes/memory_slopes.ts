/**
 * Memory of large tables and encoded size of configurations.
 *
 * @module
 */

import { createClientBlockTable } from "@dotterelmoor/core.steering";
import { Encoder } from "cbor-x";
import type { Measurement } from "./measurement.ts";
import { toMeasurement } from "./measurement.ts";
import { buildBlocks, buildSnapshot, createRandom } from "./samples.ts";

/** Memory of this process at one moment, in megabytes of 1,000,000 bytes. */
export interface MemoryReading {
  /** Data that was loaded at this moment. */
  readonly label: string;
  /** Resident set size. */
  readonly residentMb: number;
  /** Used heap. */
  readonly heapMb: number;
  /** Array buffers. */
  readonly arrayMb: number;
}

/** Reads the memory usage of this process. */
export function readMemory(label: string): MemoryReading {
  // Collects garbage; available only if Node.js runs with --expose-gc.
  (globalThis as { gc?: () => void }).gc?.();
  const { rss, heapUsed, arrayBuffers } = process.memoryUsage();
  const toMb = (bytes: number) => Math.round(bytes / 100_000) / 10;
  return {
    label,
    residentMb: toMb(rss),
    heapMb: toMb(heapUsed),
    arrayMb: toMb(arrayBuffers),
  };
}

/** Loads tables of the target size and reads the memory after each step. */
export function measureMemory(seed: number): MemoryReading[] {
  const readings = [readMemory("bench loaded")];
  const table = createClientBlockTable(
    buildBlocks(900_000, createRandom(seed)),
  );
  readings.push(readMemory("900,000 blocks in typed arrays"));
  const blocks = [...buildBlocks(900_000, createRandom(seed))];
  readings.push(readMemory("the same blocks also as a document"));
  if (table.size === 0 || blocks.length === 0) {
    throw new Error("Cannot build the tables");
  }
  return readings;
}

/**
 * Measures the encoded size of a configuration against the numbers of services
 * and client blocks.
 */
export function measureSnapshotSlopes(seed: number): Measurement[] {
  const codec = new Encoder({ useRecords: false, mapsAsObjects: true });
  const services = [4, 8, 16, 32].map((size) => ({
    size,
    value:
      codec.encode(buildSnapshot(1, { services: size, regions: 7 })).length,
  }));
  const blocks = [1_000, 10_000, 100_000].map((size) => ({
    size,
    value: codec.encode([...buildBlocks(size, createRandom(seed))]).length,
  }));
  return [
    toMeasurement("snapshot without blocks, 7 regions", services, {
      sizeName: "services",
      unit: "bytes",
    }),
    toMeasurement("blocks in a snapshot", blocks, {
      sizeName: "blocks",
      unit: "bytes",
    }),
  ];
}
