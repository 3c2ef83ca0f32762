import test from "ava";
import type { ExecutionContext } from "ava";
import { lookUp } from "@dotterelmoor/testing.demo";
import type { EntryProcess } from "@dotterelmoor/testing.demo";
import { FIRST_REGION_CALLER, sendCall } from "./calls.ts";
import { readAllCounters } from "./counting.ts";
import { findOwner, startTestSystem } from "./test_system.ts";

const SERVICE = "availdesk";
const REGION = "southeast";
const CALLERS = 40;
/** Time after which callers disconnect, while the owner is still frozen. */
const CALLER_TIMEOUT_MS = 400;

interface Scenario {
  /** Chooses the entry to which the callers connect. */
  readonly chooseEntry: (entries: {
    readonly owner: EntryProcess;
    readonly other: EntryProcess;
  }) => EntryProcess;
}

// When the owner resumes, its sockets hold both the requests and the end of the
// callers' connections. It reads the requests first.
const checkLeftCallers = test.macro(
  async (t: ExecutionContext, scenario: Scenario) => {
    const system = await startTestSystem(t, {
      example: "consortium",
      regions: [REGION],
      entriesPerRegion: 2,
      serversPerGroup: 3,
      teams: [SERVICE],
      serverFlags: ["--service-ms", "20"],
    });
    const group = { service: SERVICE, region: REGION };
    const owner = (await findOwner(system.entries, group))!;
    const other = system.entries.find((candidate) => candidate !== owner)!;
    const entry = scenario.chooseEntry({ owner, other }).callers;
    const call = { entry, service: SERVICE, path: "/availability" };
    // The first response shows that the entries are connected to each other.
    t.is((await sendCall(call)).outcome, "answered");
    owner.process.freeze();
    const results = await Promise.all(
      Array.from(
        { length: CALLERS },
        () => sendCall({ ...call, timeoutMs: CALLER_TIMEOUT_MS }),
      ),
    );
    // This lookup returns after the other entry has handled the disconnections.
    await lookUp(other.callers, {
      service: SERVICE,
      from: FIRST_REGION_CALLER,
    });
    owner.process.resume();
    t.true(results.every(({ outcome }) => outcome === "lost"));
    // The listener's queue is first in, first out, so this request is handled
    // after those of the callers that left.
    t.is((await sendCall(call)).outcome, "answered");
    const counters = await readAllCounters(system);
    const runs = counters.reduce((sum, server) => sum + server.runs, 0);
    t.is(runs, 2);
  },
);

test(
  "guards against runs for callers that left while their entry was frozen",
  checkLeftCallers,
  { chooseEntry: ({ owner }) => owner },
);

test(
  "guards against runs for callers that left while the group's owner was frozen",
  checkLeftCallers,
  { chooseEntry: ({ other }) => other },
);
