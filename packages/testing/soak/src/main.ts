/**
 * Command line of the soak: `npm run soak -- --seeds 50`.
 *
 * @module
 */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runSoak } from "./soak.ts";
import type { SoakReport } from "./soak.ts";

const arguments_ = await yargs(hideBin(process.argv))
  .scriptName("soak")
  .options({
    seed: { type: "number", default: 1, describe: "first seed" },
    seeds: { type: "number", default: 1, describe: "number of seeds" },
    seconds: { type: "number", default: 15, describe: "time with faults" },
    entries: { type: "number", default: 6, describe: "entry processes" },
    servers: { type: "number", default: 8, describe: "backend servers" },
    parallel: { type: "number", default: 1, describe: "runs at a time" },
    trace: { type: "boolean", default: false, describe: "print all faults" },
  })
  .strict()
  .parseAsync();

let nextSeed = arguments_.seed;
const endSeed = arguments_.seed + arguments_.seeds;
await Promise.all([...Array(arguments_.parallel).keys()].map(runWorker));

async function runWorker(worker: number): Promise<void> {
  while (nextSeed < endSeed) {
    const seed = nextSeed++;
    const report = await runSoak({
      seed,
      durationMs: arguments_.seconds * 1_000,
      entries: arguments_.entries,
      servers: arguments_.servers,
      network: `127.${30 + worker}`,
      firstPort: 17_620,
    });
    printReport(report);
  }
}

function printReport({ records, ...report }: SoakReport): void {
  const { violations } = report;
  process.stdout.write(`${JSON.stringify(report)}\n`);
  if (violations.length > 0) process.exitCode = 1;
  if (!arguments_.trace && violations.length === 0) return;
  for (const fault of records.faults) {
    process.stdout.write(`  ${JSON.stringify(fault)}\n`);
  }
  for (const change of records.changes) {
    process.stdout.write(`  ${JSON.stringify(change)}\n`);
  }
}
