/**
 * Sizes and request mixes of the experiment at today's size.
 *
 * @module
 */

import { parseMix } from "@dotterelmoor/command.load";
import type { Mix, MixRequest } from "@dotterelmoor/command.load";
import type { ExampleName } from "@dotterelmoor/testing.demo";

/** Entries in each of the 3 regions. */
export const ENTRIES_PER_REGION = 6;

/** Servers of each service in a region, 12 in the 3 regions together. */
export const SERVERS_PER_GROUP = 4;

/** Slots of 4 services in 3 regions, with 3 slots per server. */
const TOTAL_SLOTS = 4 * 3 * SERVERS_PER_GROUP * 3;

/** Mean service time; uniformly distributed from 0 to twice the mean. */
export const SERVICE_MS = 200;

/** Half of the capacity of all slots. */
export const RATE_PER_SECOND = TOTAL_SLOTS * 1_000 / SERVICE_MS / 2;

type RequestKind = Pick<MixRequest, "service" | "path"> & Partial<MixRequest>;

/** Settings of the experiment that depend on the example. */
export interface Scenario {
  readonly regions: readonly string[];
  /** Team whose document is changed. */
  readonly changedTeam: string;
  readonly mix: Mix;
}

const POST = { method: "POST", bodyBytes: 400 } as const;

const CONSORTIUM: readonly RequestKind[] = [
  { service: "availdesk", path: "/availability", share: 6 },
  { service: "modelshelf", path: "/models", share: 6 },
  { service: "holdkeeper", path: "/holds", share: 2, key: "own", ...POST },
  { service: "holdkeeper", path: "/holds", share: 2, key: "issued", ...POST },
  { service: "holdkeeper", path: "/holds", share: 2 },
  {
    service: "certledger",
    path: "/certificates",
    share: 2,
    ...POST,
    key: "own",
  },
  { service: "certledger", path: "/certificates", share: 4 },
];

const HNOJOVKA: readonly RequestKind[] = [
  { service: "slot-finder", path: "/slots", share: 6 },
  {
    service: "booking-desk",
    path: "/confirmations",
    share: 2,
    key: "own",
    ...POST,
  },
  {
    service: "booking-desk",
    path: "/confirmations",
    share: 2,
    key: "issued",
    ...POST,
  },
  { service: "booking-desk", path: "/confirmations", share: 2 },
  {
    service: "cancel-desk",
    path: "/cancellations",
    share: 2,
    key: "own",
    ...POST,
  },
  {
    service: "cancel-desk",
    path: "/cancellations",
    share: 4,
    key: "issued",
    ...POST,
  },
  { service: "field-ledger", path: "/history", share: 4 },
  {
    service: "field-ledger",
    path: "/history",
    share: 2,
    method: "PUT",
    bodyBytes: 400,
  },
];

/** Scenarios by example; region `n` (from 1) has the callers in 127.n.0.0/16. */
export const SCENARIOS: Readonly<Record<ExampleName, Scenario>> = {
  consortium: {
    regions: ["southeast", "farnorth", "capricorn"],
    changedTeam: "holdkeeper",
    mix: makeMix(CONSORTIUM),
  },
  hnojovka: {
    regions: ["zapad", "stred", "vychod"],
    changedTeam: "booking-desk",
    mix: makeMix(HNOJOVKA),
  },
};

/** Returns the loopback address of the callers in a region, counted from 0. */
export function makeCallerAddress(region: number): string {
  return `127.${region + 1}.0.9`;
}

function makeMix(kinds: readonly RequestKind[]): Mix {
  const requests = [0, 1, 2].flatMap((region) =>
    kinds.map((kind, index) => ({
      ...kind,
      name: `kind-${index}`,
      client: makeCallerAddress(region),
      region: "all",
    }))
  );
  return parseMix(JSON.stringify({ requests }));
}
