import test from "ava";
import { DisposableStore } from "@dotterelmoor/core.types";
import { pino } from "pino";
import { createMemoryStore } from "../edge_fixture.ts";
import { startRegistration } from "./registration.ts";

/** Time in milliseconds that covers the first two pauses, which end after 300
 * and 1,000 ms. */
const TWO_SEARCHES_MS = 1_200;

async function runSearches(state: {
  readonly isReading: boolean;
  readonly isAlone: boolean;
}) {
  const memory = createMemoryStore();
  await memory.createClient("other").registerEntry("n9", "10.0.0.9:7620");
  const store = new DisposableStore();
  const seeds = new Set<string>();
  startRegistration({
    source: memory.createClient("n1"),
    instance: "n1",
    peerAddress: "10.0.0.1:7620",
    addSeeds: (addresses) => addresses.forEach((address) => seeds.add(address)),
    isReading: () => state.isReading,
    isAlone: () => state.isAlone,
    store,
    log: pino({ level: "silent" }),
  });
  await new Promise((resolve) => setTimeout(resolve, TWO_SEARCHES_MS));
  await store.dispose();
  return { calls: memory.countCalls("n1"), seeds: [...seeds] };
}

test("guards against calls to the store by entries that know others and do not read", async (t) => {
  const { calls } = await runSearches({ isReading: false, isAlone: false });
  t.is(calls, 0);
});

test("guards against an entry without reachable seeds that stays alone", async (t) => {
  const { seeds } = await runSearches({ isReading: false, isAlone: true });
  t.deepEqual(seeds, ["10.0.0.9:7620"]);
});

// Each group has a reader of its own, and none of its seeds is in another
// group.
test("guards against groups of entries that never find each other", async (t) => {
  const { calls, seeds } = await runSearches({
    isReading: true,
    isAlone: false,
  });
  t.deepEqual(seeds, ["10.0.0.9:7620", "10.0.0.1:7620"]);
  // One registration and two searches.
  t.is(calls, 3);
});
