/**
 * Command-line program that runs the experiment at today's size, once for each
 * example.
 *
 * @module
 */

import { parseArgs } from "node:util";
import { runTodayBench } from "./today_bench.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    example: { type: "string", multiple: true },
  },
});

for (const example of ["consortium", "hnojovka"] as const) {
  if (values.example !== undefined && !values.example.includes(example)) {
    continue;
  }
  const result = await runTodayBench({ example, seed: Number(values.seed) });
  console.log(JSON.stringify(result, undefined, 2));
}
