/**
 * Command-line program that runs the benchmark of the dispatch policies.
 *
 * @module
 */

import { parseArgs } from "node:util";
import { renderPolicyTable, runPolicyBench } from "./mod.ts";

const HELP = `Usage: npm run bench -- [options]

Options:
  --seed <number>         Seed of the random numbers (default 1)
  --duration-ms <number>  Measured virtual time per run (default 20000)
  --client-ms <number>    Delay between callers and entries (default 1)
  --json                  Print JSON
  --help                  Print this text`;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    "duration-ms": { type: "string", default: "20000" },
    "client-ms": { type: "string", default: "1" },
    json: { type: "boolean", default: false },
    help: { type: "boolean", default: false },
  },
});

if (values.help) {
  console.log(HELP);
} else {
  const options = {
    seed: Number(values.seed),
    durationMs: Number(values["duration-ms"]),
    clientMs: Number(values["client-ms"]),
  };
  const rows = runPolicyBench(options);
  console.log(
    values.json
      ? JSON.stringify({ options, rows }, undefined, 2)
      : `seed ${options.seed}, ${options.durationMs} ms per run\n\n` +
        renderPolicyTable(rows),
  );
}
