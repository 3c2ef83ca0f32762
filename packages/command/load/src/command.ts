/**
 * The command `dotterelmoor-load`: names, flags, help and handler.
 *
 * @module
 */

import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import type { Argv, InferredOptionTypes } from "yargs";
import { assertLoopback } from "./addresses.ts";
import { parseMix } from "./mix.ts";
import { renderPlot } from "./plot.ts";
import { runLoad } from "./run.ts";
import { createSender } from "./sender.ts";
import { formatReport } from "./text_report.ts";

/** Name of the command, and its alias as the default command. */
export const command = ["dotterelmoor-load", "$0"] as const;

/** Description of the command in its help. */
export const describe =
  "Generates an open-loop load and reports latencies and outcomes";

/** Flags of the command. */
export const flags = {
  mix: {
    type: "string",
    demandOption: true,
    describe: "YAML file with the request mix",
  },
  entry: {
    type: "string",
    array: true,
    default: [] as string[],
    describe: "Entry to send lookups to, as host:port; may be repeated",
  },
  direct: {
    type: "string",
    describe: "URL of a backend server to send requests to without lookups",
  },
  rate: { type: "number", default: 50, describe: "Requests per second" },
  duration: { type: "number", default: 10, describe: "Duration in seconds" },
  warmup: {
    type: "number",
    default: 0,
    describe: "Seconds at the start that are left out of the report",
  },
  "max-requests": { type: "number", default: 100_000 },
  "max-in-flight": { type: "number", default: 2_000 },
  seed: { type: "number", default: 1 },
  "timeout-ms": { type: "number", default: 10_000 },
  "interval-ms": {
    type: "number",
    default: 1_000,
    describe: "Length of the intervals in the plot",
  },
  json: { type: "string", describe: "Write the report as JSON to this file" },
  svg: { type: "string", describe: "Write the plot as SVG to this file" },
  "allow-remote": {
    type: "boolean",
    default: false,
    describe: "Allow addresses other than loopback",
  },
} as const;

/** Parsed values of the flags. */
export type LoadFlags = InferredOptionTypes<typeof flags>;

/** Adds the flags to a yargs parser. */
export function buildFlags(yargs: Argv): Argv<LoadFlags> {
  return yargs.options(flags).strict() as unknown as Argv<LoadFlags>;
}

/**
 * Runs the load, prints the report and writes the requested files. Throws if
 * the mix is invalid or a target is missing or not allowed.
 */
export async function handler(input: LoadFlags): Promise<void> {
  const mix = parseMix(readFileSync(input.mix, "utf8"));
  const assertAllowed = (address: string) =>
    assertLoopback(address, input["allow-remote"]);
  assertTargets(input, assertAllowed);
  const sender = createSender({
    entries: input.entry,
    direct: input.direct,
    timeoutMs: input["timeout-ms"],
    assertAllowed,
  });
  const abortController = new AbortController();
  process.once("SIGINT", () => abortController.abort());
  const report = await runLoad({
    mix,
    seed: input.seed,
    ratePerSecond: input.rate,
    durationMs: input.duration * 1_000,
    warmupMs: input.warmup * 1_000,
    maxRequests: input["max-requests"],
    maxInFlight: input["max-in-flight"],
    intervalMs: input["interval-ms"],
    send: (arrival) => sender.send(arrival),
    signal: abortController.signal,
  });
  sender.close();
  console.log(formatReport(report));
  if (sender.countLookupFailures() > 0) {
    console.log(`Failed lookups: ${sender.countLookupFailures()}`);
  }
  if (input.json !== undefined) {
    writeFileSync(input.json, `${JSON.stringify(report, null, 2)}\n`);
  }
  if (input.svg !== undefined) writeFileSync(input.svg, renderPlot(report));
}

function assertTargets(
  input: LoadFlags,
  assertAllowed: (address: string) => void,
): void {
  const targets = input.direct === undefined ? input.entry : [input.direct];
  if (targets.length === 0) {
    throw new Error("Cannot generate load without --entry or --direct");
  }
  targets.forEach(assertAllowed);
}
