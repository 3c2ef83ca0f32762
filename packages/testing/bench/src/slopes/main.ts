/**
 * Command-line program that runs the slope benchmarks.
 *
 * @module
 */

import { parseArgs } from "node:util";
import {
  measureAnswerSlopes,
  measureBlockSlopes,
  measureMemory,
  measureSnapshotSlopes,
  measureSpreadSlopes,
  measureStoreSlopes,
  measureSummarySlopes,
  measureTrafficSlopes,
  renderMeasurements,
} from "./mod.ts";
import type { Measurement, MemoryReading } from "./mod.ts";

const PARTS: Readonly<Record<string, (seed: number) => Measurement[]>> = {
  blocks: measureBlockSlopes,
  answers: measureAnswerSlopes,
  snapshots: measureSnapshotSlopes,
  store: measureStoreSlopes,
  traffic: measureTrafficSlopes,
  summaries: measureSummarySlopes,
  spread: measureSpreadSlopes,
};

const HELP = `Usage: node packages/testing/bench/src/slopes/main.js [options]

Options:
  --seed <number>  Seed of the random numbers (default 1)
  --part <name>    Only one of ${Object.keys(PARTS).join(", ")}, memory
  --json           Print JSON
  --help           Print this text`;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    part: { type: "string" },
    json: { type: "boolean", default: false },
    help: { type: "boolean", default: false },
  },
});

function renderMemory(readings: readonly MemoryReading[]): string {
  return readings.map((item) =>
    `${item.label}: ${item.residentMb} MB resident, ${item.heapMb} MB heap, ` +
    `${item.arrayMb} MB arrays`
  ).join("\n");
}

function run(seed: number, part: string | undefined): void {
  const memory = part === undefined || part === "memory"
    ? measureMemory(seed)
    : [];
  const measurements: Measurement[] = [];
  for (const [name, measure] of Object.entries(PARTS)) {
    if (part !== undefined && part !== name) continue;
    measurements.push(...measure(seed));
  }
  if (values.json) {
    console.log(JSON.stringify({ seed, memory, measurements }, undefined, 2));
    return;
  }
  console.log(`seed ${seed}, Node.js ${process.version}\n`);
  if (memory.length > 0) console.log(`${renderMemory(memory)}\n`);
  if (measurements.length > 0) console.log(renderMeasurements(measurements));
}

if (values.help) console.log(HELP);
else run(Number(values.seed), values.part);
