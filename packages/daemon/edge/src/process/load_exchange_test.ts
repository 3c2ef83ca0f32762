import test from "ava";
import type { ExecutionContext } from "ava";
import type { MemberRecord } from "@dotterelmoor/core.membership";
import type { PlacingPlans } from "@dotterelmoor/core.placing";
import { DisposableStore } from "@dotterelmoor/core.types";
import type { LoadReportMessage } from "@dotterelmoor/network.peering";
import { pino } from "pino";
import { startLoadExchange } from "./load_exchange.ts";
import type { LoadExchange } from "./load_exchange.ts";

const PLANS: PlacingPlans = {
  desk: {
    homeShare: 0.5,
    all: { warmMs: 1, coldMs: 3, meanMs: 2 },
    routes: {},
    warmth: {},
  },
};

interface TestEntry {
  readonly member: MemberRecord;
  /** What it has in flight. */
  readonly own: Map<string, number>;
  others: ReadonlyMap<string, number>;
  arrivals: number;
  plans: PlacingPlans | undefined;
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
  return {
    member,
    own: new Map(),
    others: new Map(),
    arrivals: 0,
    plans: undefined,
    isDead: false,
  };
}

/** Entries that exchange loads through memory. */
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
          arrivals: new Map([["desk", 1]]),
          runs: [],
        }),
        addObservations: ({ arrivals }) =>
          entry.arrivals += arrivals.get("desk") ?? 0,
        exportPlans: () => PLANS,
        importPlans: (plans) => entry.plans = plans,
      },
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

test("guards against an entry that knows only its own part of a server's load", async (t) => {
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
  // The load of requests that ended is not counted any longer.
  entries[4]!.own.clear();
  await waitUntil(t, () => entries[1]!.others.get("s1") === 8);
});

test("guards against entries that learn nothing once the first one has ended", async (t) => {
  const entries = [
    createEntry("a1", "a", 1),
    createEntry("a2", "a", 2),
    createEntry("a3", "a", 3),
  ];
  startEntries(t, entries);
  await waitUntil(t, () => entries[2]!.plans !== undefined);
  await waitUntil(t, () => entries[0]!.arrivals > 2);
  entries[0]!.isDead = true;
  entries[2]!.own.set("s1", 2);
  await waitUntil(t, () => entries[1]!.others.get("s1") === 2);
});
