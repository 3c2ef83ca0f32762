#!/usr/bin/env node
/**
 * Command-line program that runs the simulated platform.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { JsonValue, ListedInstance } from "@dotterelmoor/core.types";
import { startPlatform } from "./platform.ts";
import type { RunningPlatform } from "./types.ts";

function parseArguments() {
  return yargs(hideBin(process.argv))
    .options({
      host: { type: "string", default: "127.0.0.1" },
      port: { type: "number", default: 0 },
      "control-port": { type: "number", default: 0 },
      "initial-rows": {
        type: "string",
        describe: "JSON file with an object of key to value",
      },
      instances: {
        type: "string",
        describe: "JSON file with a list of instances",
      },
    })
    .strict()
    .parse();
}

function readJsonFile<T>(path: string | undefined): T | undefined {
  return path === undefined
    ? undefined
    : JSON.parse(readFileSync(path, "utf8")) as T;
}

function closeOnSignals(platform: RunningPlatform): void {
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => {
      platform.close().then(() => process.exit(0), () => process.exit(1));
    });
  }
}

const flags = await parseArguments();
const platform = await startPlatform({
  host: flags.host,
  port: flags.port,
  controlPort: flags.controlPort,
  initialRows: readJsonFile<Record<string, JsonValue>>(flags.initialRows),
  instances: readJsonFile<ListedInstance[]>(flags.instances),
});
closeOnSignals(platform);
console.log(JSON.stringify({
  ready: true,
  url: platform.url,
  controlUrl: platform.controlUrl,
}));
