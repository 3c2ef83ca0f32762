#!/usr/bin/env node
/**
 * Demo: a two-region system of separate processes on loopback.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import {
  callOperatorApi,
  lookUp,
  sendRequest,
  waitForGroups,
  waitUntil,
} from "./calling.ts";
import type { LookupResponse, RequestResult } from "./calling.ts";
import type { ExampleName } from "./example_rows.ts";
import { startSystem } from "./system.ts";
import type { RunningSystem } from "./system.ts";

/** Regions and requests of an example that the demo uses. */
interface Scenario {
  readonly regions: readonly [string, string];
  readonly query: { readonly service: string; readonly path: string };
  readonly booking: { readonly service: string; readonly path: string };
}

const SCENARIOS: Readonly<Record<ExampleName, Scenario>> = {
  consortium: {
    regions: ["southeast", "farnorth"],
    query: { service: "availdesk", path: "/availability?suburb=Toowong" },
    booking: { service: "holdkeeper", path: "/holds" },
  },
  hnojovka: {
    regions: ["zapad", "stred"],
    query: { service: "slot-finder", path: "/slots?week=12" },
    booking: { service: "booking-desk", path: "/confirmations" },
  },
};

/** Loopback address that the client blocks of both examples map to the first
 * region. */
const CALLER_ADDRESS = "127.1.0.5";

function printStep(text: string): void {
  console.log(`\n== ${text}`);
}

function printOutcome(title: string, result: RequestResult): void {
  const reason = result.reason === "" ? "" : `, reason ${result.reason}`;
  const server = result.server === "" ? "" : `, server ${result.server}`;
  console.log(
    `${title}: HTTP ${result.status}, outcome ${result.outcome}${reason}${server}`,
  );
}

async function showRequests(
  system: RunningSystem,
  scenario: Scenario,
): Promise<LookupResponse> {
  const { query, booking } = scenario;
  printStep("A caller looks up the entries of a service");
  const lookup = await lookUp(system.entries[0]!.callers, {
    service: query.service,
    from: CALLER_ADDRESS,
  });
  console.log(JSON.stringify(lookup, null, 2));
  const entry = lookup.entries[0]!.address;

  printStep("A query and its complete response");
  const result = await sendRequest(entry, { ...query, from: CALLER_ADDRESS });
  printOutcome(query.service, result);
  console.log(result.body);

  printStep("A booking, sent twice with one key through different entries");
  const key = randomUUID();
  const request = {
    ...booking,
    method: "POST",
    from: CALLER_ADDRESS,
    key,
  } as const;
  printOutcome(
    "first",
    await sendRequest(entry, { ...request, body: "slot 7" }),
  );
  const other = system.entries.at(-1)!.callers;
  printOutcome(
    "repeated",
    await sendRequest(other, { ...request, body: "slot 7" }),
  );
  return lookup;
}

async function showDrain(
  system: RunningSystem,
  scenario: Scenario,
  entry: string,
): Promise<void> {
  const { service } = scenario.query;
  const server = system.servers.find(({ instance }) =>
    instance.service === service && instance.region === scenario.regions[0]
  )!;
  printStep(`An operator drains ${server.instance.id}`);
  const operators = system.entries[0]!.operators;
  const answer = await callOperatorApi(
    operators,
    `/v1/drains/${server.instance.id}`,
    { method: "PUT", json: { why: "Demo", changeId: randomUUID() } },
  );
  console.log(`operators' interface: ${JSON.stringify(answer.body)}`);
  let lastServer = "";
  const waitedMs = await waitUntil(async () => {
    const result = await sendRequest(entry, {
      ...scenario.query,
      from: CALLER_ADDRESS,
    });
    lastServer = result.server;
    return lastServer !== server.instance.id;
  }, { timeoutMs: 5_000, what: "requests to move to another server" });
  console.log(
    `after ${Math.round(waitedMs)} ms requests go to ${lastServer} instead`,
  );
}

interface DocumentView {
  readonly text: string;
  readonly version: number;
}

async function showChange(
  system: RunningSystem,
  scenario: Scenario,
): Promise<void> {
  const team = scenario.booking.service;
  printStep(`Team ${team} changes the shift cap in its document`);
  const { operators } = system.entries[0]!;
  const path = `/v1/documents/${team}`;
  const { body: before } = await callOperatorApi<DocumentView>(operators, path);
  const answer = await callOperatorApi<{ readonly sequence: number }>(
    operators,
    path,
    {
      method: "PUT",
      json: {
        text: before.text.replace(/cap: \d+/, "cap: 20"),
        editedFrom: before.version,
        changeId: randomUUID(),
        why: "Demo: a lower cap",
      },
    },
  );
  console.log(`accepted: ${JSON.stringify(answer.body)}`);
  const { sequence } = answer.body;
  const waitedMs = await waitUntil(async () => {
    const sequences = await Promise.all(
      system.entries.map((entry) => readSequence(entry.operators)),
    );
    return sequences.every((value) => value >= sequence);
  }, { timeoutMs: 5_000, what: "the change to be in force on all entries" });
  console.log(
    `in force on all ${system.entries.length} entries after ` +
      `${Math.round(waitedMs)} ms`,
  );
  const { body: history } = await callOperatorApi(operators, "/v1/history");
  console.log(`audit log: ${JSON.stringify(history, null, 2)}`);
}

async function readSequence(operators: string): Promise<number> {
  const { body } = await callOperatorApi<
    { readonly configuration: { readonly sequence: number } }
  >(operators, "/v1/status");
  return body.configuration.sequence;
}

async function runDemo(example: ExampleName): Promise<void> {
  const scenario = SCENARIOS[example];
  printStep(
    `Starting the ${example} example in ${scenario.regions.join(", ")}`,
  );
  const system = await startSystem({
    example,
    regions: scenario.regions,
    entriesPerRegion: 2,
    serversPerGroup: 2,
    teams: [scenario.query.service, scenario.booking.service],
  });
  try {
    for (const entry of system.entries) {
      console.log(`${entry.instance} (${entry.zone}): ${entry.callers}`);
    }
    await waitForGroups(system, scenario.regions.length * 2);
    const lookup = await showRequests(system, scenario);
    await showDrain(system, scenario, lookup.entries[0]!.address);
    await showChange(system, scenario);
  } finally {
    await system.stop();
  }
  printStep("All processes stopped");
}

const flags = await yargs(hideBin(process.argv))
  .usage("Runs a small system on loopback and shows what it decides.")
  .option("example", {
    choices: ["consortium", "hnojovka"] as const,
    default: "consortium" as const,
  })
  .strict()
  .parse();
await runDemo(flags.example);
