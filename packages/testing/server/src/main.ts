#!/usr/bin/env node
/**
 * Command-line program that runs the simulated backend server.
 *
 * @module
 */

import process from "node:process";
import { setTimeout as wait } from "node:timers/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { startServer } from "./server.ts";
import type { RunningServer } from "./types.ts";

const FLAGS = {
  name: { type: "string", default: "server" },
  host: { type: "string", default: "127.0.0.1" },
  port: { type: "number", default: 0 },
  "control-port": { type: "number", default: 0 },
  slots: { type: "number", default: 3 },
  "max-connections": { type: "number", default: 650 },
  "service-ms": { type: "number", default: 10 },
  distribution: {
    choices: ["constant", "uniform", "exponential"] as const,
    default: "constant" as const,
  },
  seed: { type: "number", default: 1 },
  "cold-ms": { type: "number", default: 0 },
  "cold-factor": { type: "number", default: 5 },
  "answer-bytes": { type: "number", default: 0 },
  "key-header": { type: "string", default: "idempotency-key" },
  "crash-header": {
    type: "string",
    describe: "A request with this header crashes the process",
  },
  "crash-path": {
    type: "string",
    describe: "A request whose path has this prefix crashes the process",
  },
  "run-log": {
    type: "string",
    describe:
      "File to which one line per run is appended before its work starts",
  },
  shed: { type: "boolean", default: false },
  "drain-ms": {
    type: "number",
    default: 0,
    describe:
      "Time from SIGTERM or SIGINT, which marks the server as draining, " +
      "to the exit",
  },
} as const;

function parseArguments() {
  return yargs(hideBin(process.argv)).options(FLAGS).strict().parse();
}

function closeOnSignals(server: RunningServer, drainMs: number): void {
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, async () => {
      server.setFaults({ draining: true });
      await wait(drainMs);
      await server.close();
      process.exit(0);
    });
  }
}

const flags = await parseArguments();
const server = await startServer({
  ...flags,
  faults: { shed: flags.shed },
  crash: () => process.exit(70),
});
closeOnSignals(server, flags.drainMs);
console.log(JSON.stringify({
  ready: true,
  name: server.name,
  address: server.address,
  url: server.url,
  controlUrl: server.controlUrl,
}));
