import test from "ava";
import type { ExecutionContext } from "ava";
import type { MemberRecord } from "@dotterelmoor/core.membership";
import type { PlacingPlans } from "@dotterelmoor/core.placing";
import { DisposableStore } from "@dotterelmoor/core.types";
import type { LoadReportMessage } from "@dotterelmoor/network.peering";
import { pino } from "pino";
import { buildServer } from "../edge_fixture.ts";
import { Assignments } from "./assignments.ts";
import { startLoadExchange } from "./load_exchange.ts";
import type { LoadExchange } from "./load_exchange.ts";

const SERVERS = ["a", "b"].flatMap((region) =>
  [1, 2].map((number) => ({
    record: buildServer(`${region}${number}`, "10.0.0.1:80"),
    region,
    coldUntilMs: -Infinity,
    missingSinceMs: undefined,
  }))
);

const PLANS: PlacingPlans = {
  desk: {
    all: { warmMs: 1, coldMs: 3, meanMs: 2 },
    routes: {},
  },
};

interface TestEntry {
  readonly member: MemberRecord;
  /** Requests in flight from this entry, by server id. */
  readonly own: Map<string, number>;
  others: ReadonlyMap<string, number>;
  runs: number;
  plans: PlacingPlans | undefined;
  readonly assignments: Assignments;
  exchange?: LoadExchange;
  isDead: boolean;
}

function createEntry(name: string, region: string, age: number): TestEntry {
  const member = {
    instance: name,
    processId: name,
    incarnation: age,
    peerAddress: name,
    callerAddress: name,
    region,
    zone: `${region}-1`,
    capacity: 378,
  };
  const assignments = new Assignments({
    processId: name,
    findServers: () => SERVERS,
    keepsHome: () => false,
    measureBusyShare: () => 1,
  });
  return {
    member,
    assignments,
    own: new Map(),
    others: new Map(),
    runs: 0,
    plans: undefined,
    isDead: false,
  };
}

/** Starts entries that exchange loads through direct function calls. */
function startEntries(t: ExecutionContext, entries: readonly TestEntry[]) {
  const store = new DisposableStore();
  t.teardown(() => store.dispose());
  for (const entry of entries) {
    const { processId, region } = entry.member;
    entry.exchange = startLoadExchange({
      processId,
      region,
      listEntries: () => entries.map(({ member }) => member),
      call: (address, message) => answer(entries, { address, entry, message }),
      placer: {
        countInFlight: () => new Map(entry.own),
        setOtherLoads: (counts) => entry.others = counts,
        takeObservations: () => ({
          uses: [`desk\nr1 ${processId}`],
          runs: [{ service: "desk", work: "r1", runMs: 1 }],
        }),
        addObservations: ({ runs }) => entry.runs += runs.length,
        exportPlans: () => PLANS,
        importPlans: (plans) => entry.plans = plans,
      },
      assignments: entry.assignments,
      isRestored: () => true,
      random: Math.random,
      store,
      log: pino({ level: "silent" }),
    });
  }
}

function answer(
  entries: readonly TestEntry[],
  call: {
    readonly address: string;
    readonly entry: TestEntry;
    readonly message: LoadReportMessage;
  },
) {
  const { address, entry, message } = call;
  const peer = entries.find(({ member }) => member.peerAddress === address);
  const isReached = peer?.isDead === false && !entry.isDead;
  return Promise.resolve(
    isReached ? peer.exchange?.answer(message, entry.member) : undefined,
  );
}

async function waitUntil(t: ExecutionContext, isTrue: () => boolean) {
  const endAtMs = performance.now() + 5_000;
  while (!isTrue()) {
    if (performance.now() > endAtMs) return t.fail("Not within 5 s");
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  t.pass();
}

test("guards against an entry that knows only its own share of a server's load", async (t) => {
  const entries = [
    createEntry("a1", "a", 1),
    createEntry("a2", "a", 2),
    createEntry("a3", "a", 3),
    createEntry("b1", "b", 1),
    createEntry("b2", "b", 2),
  ];
  entries.forEach(({ own }, index) => own.set("s1", index + 1));
  startEntries(t, entries);
  for (const [index, entry] of entries.entries()) {
    await waitUntil(t, () => entry.others.get("s1") === 15 - (index + 1));
  }
  // Requests that have ended must no longer be counted.
  entries[4]!.own.clear();
  await waitUntil(t, () => entries[1]!.others.get("s1") === 8);
});

test("guards against entries that send the same object to different servers", async (t) => {
  const entries = [
    createEntry("a1", "a", 1),
    createEntry("a2", "a", 2),
    createEntry("b1", "b", 1),
    createEntry("b2", "b", 2),
  ];
  startEntries(t, entries);
  const findAll = (entry: TestEntry) =>
    entries.map(({ member }) =>
      entry.assignments.find(`desk\nr1 ${member.processId}`)
    );
  for (const entry of entries) {
    await waitUntil(t, () => !findAll(entry).includes(undefined));
    t.deepEqual(findAll(entry), findAll(entries[0]!));
    // Four objects on four servers.
    t.is(new Set(findAll(entry)).size, 4);
  }
  // The next entry that assigns keeps the existing assignments.
  const before = findAll(entries[1]!);
  entries[0]!.isDead = true;
  await waitUntil(t, () => entries[1]!.assignments.isAssigning);
  t.deepEqual(findAll(entries[1]!), before);
});

test("guards against entries that stop learning loads after the aggregator has ended", async (t) => {
  const entries = [
    createEntry("a1", "a", 1),
    createEntry("a2", "a", 2),
    createEntry("a3", "a", 3),
  ];
  startEntries(t, entries);
  await waitUntil(t, () => entries[2]!.plans !== undefined);
  await waitUntil(t, () => entries[0]!.runs > 2);
  entries[0]!.isDead = true;
  entries[2]!.own.set("s1", 2);
  await waitUntil(t, () => entries[1]!.others.get("s1") === 2);
});
