import test from "ava";
import type {
  ConfigurationSnapshot,
  ServiceDocument,
} from "@dotterelmoor/core.types";
import type { RoutingView } from "../version/routing_view.ts";
import { runRequest } from "./front.ts";
import type { CallerRequest, RequestRunnerOptions } from "./front.ts";
import { makeNotRun } from "./not_run.ts";

const KEY_HEADER = "idempotency-key";
const QUARANTINE_MS = 5_000.5;
const KIND = {
  pathPrefix: "/",
  priority: "normal",
  deadlineMs: 1_000,
} as const;

const SERVICE: ServiceDocument = {
  name: "desk",
  regions: ["a"],
  shift: { cap: 1, windowMs: 1_000, startShare: 1, stepShare: 0 },
  concurrency: { a: 10 },
  linkShare: 1,
  kinds: [
    { ...KIND, name: "read", methods: ["GET"], repeatable: true },
    {
      ...KIND,
      name: "write",
      methods: ["POST"],
      repeatable: false,
      keyHeader: KEY_HEADER,
    },
  ],
  retry: { ratio: 0.1, floor: 3, windowMs: 10_000 },
  drainMs: 1_000,
};

const SNAPSHOT: ConfigurationSnapshot = {
  sequence: 1,
  platform: {
    regions: [],
    links: [],
    clientBlocks: [],
    limits: { maxDeadlineMs: 6_000, maxConcurrency: 10, maxShiftCap: 1 },
  },
  teams: { t: { team: "t", services: [SERVICE] } },
  drains: [],
};

const VIEW: RoutingView = {
  snapshot: SNAPSHOT,
  resolveHome: () => "a",
  chooseTargets: () => [
    { region: "a", reason: "preferred", address: undefined, queueMs: 0 },
  ],
  listGroups: () => new Map(),
};

const REQUEST: CallerRequest = {
  service: "desk",
  method: "GET",
  path: "/",
  headers: { [KEY_HEADER]: "k1" },
  body: new Uint8Array(),
  client: "127.0.0.1",
  requestId: "q1",
};

/** Sends a request through an entry of region `b`, which has no permit for the
 * link to the only region of the service. */
async function send(request: CallerRequest, quarantineMs: number) {
  const calls: string[] = [];
  const options: RequestRunnerOptions = {
    region: "b",
    random: () => 0.5,
    nowMs: () => 0,
    getView: () => VIEW,
    computeFingerprint: () => "f1",
    getQuarantineMs: () => quarantineMs,
    claimKey: () => {
      calls.push("claim");
      return Promise.resolve({
        result: { type: "claimed" },
        release: () => {},
        finish: () => {},
      });
    },
    takeRetry: () => false,
    runAtTarget: () => {
      calls.push("run");
      return Promise.resolve(makeNotRun("link-budget", 200));
    },
  };
  const signal = new AbortController().signal;
  return { outcome: await runRequest(options, request, signal), calls };
}

// Otherwise the request waits for bytes of the link, takes them from the others,
// and its caller does not learn that it is quarantined.
test("guards against a request known as quarantined that is sent to another region", async (t) => {
  for (const method of ["GET", "POST"]) {
    const request = { ...REQUEST, method };
    const { outcome, calls } = await send(request, QUARANTINE_MS);
    t.deepEqual(outcome, makeNotRun("quarantined", 5_001));
    t.deepEqual(calls, []);
    t.like((await send(request, 0)).outcome, { reason: "link-budget" });
  }
});
