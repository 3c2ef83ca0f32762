import test from "ava";
import { waitUntil } from "@dotterelmoor/testing.demo";
import type { EntryProcess, RunningSystem } from "@dotterelmoor/testing.demo";
import type { ExecutionContext } from "ava";
import {
  describeResults,
  FIRST_REGION_CALLER,
  sendCall,
  startLoad,
} from "./calls.ts";
import type { Call, CallResult, Load } from "./calls.ts";
import { readAllCounters } from "./counting.ts";
import { findOwner, readStatus, startTestSystem } from "./test_system.ts";

const SERVICE = "availdesk";
const SLOTS = 3;
const HOME = "southeast";
const SPARE = "farnorth";
const GROUP = { service: SERVICE, region: HOME };
/** A takeover needs 11 s, plus time to read rows and to gossip the state. */
const RECOVERY_LIMIT_MS = 15_000;
/** Peers declare an owner dead about 4 s after the first failed probe. */
const DETECTION_MS = 6_000;
const FROZEN_MS = 15_000;

interface OwnerLoss {
  readonly system: RunningSystem;
  readonly owner: EntryProcess;
  readonly load: Load;
}

/** Bursts exceed the group's slots, but not its shift cap at the start. */
function makeBurst(entries: readonly EntryProcess[], number: number): Call[] {
  return Array.from({ length: 12 }, (_, index) => ({
    entry: entries[index % entries.length]!.callers,
    service: SERVICE,
    path: `/availability?burst=${number}-${index}`,
    from: FIRST_REGION_CALLER,
  }));
}

async function startUnderLoad(t: ExecutionContext): Promise<OwnerLoss> {
  const system = await startTestSystem(t, {
    example: "consortium",
    regions: [HOME, SPARE],
    entriesPerRegion: 2,
    serversPerGroup: 3,
    teams: [SERVICE],
    serverFlags: ["--service-ms", "150", "--distribution", "uniform"],
  });
  const owner = await findOwner(system.entries, GROUP);
  if (owner === undefined) throw new Error("The group has no owner");
  const others = system.entries.filter((entry) => entry !== owner);
  const load = startLoad({
    intervalMs: 750,
    makeBurst: (number) => makeBurst(others, number),
  });
  t.teardown(() => load.stop());
  await waitUntil(() => countAnswered(load.results, HOME) >= 30, {
    timeoutMs: 8_000,
    what: "answers from the owner",
  });
  return { system, owner, load };
}

function countAnswered(results: readonly CallResult[], region: string): number {
  return results.filter(({ outcome, server }) =>
    outcome === "answered" && server.includes(region)
  ).length;
}

/**
 * Waits until the servers of the group answer again, within the limit, and
 * checks that the spare region served callers before that.
 */
async function waitForTakeover(t: ExecutionContext, loss: OwnerLoss) {
  const lostMs = performance.now();
  const before = loss.load.results.length;
  const others = loss.system.entries.filter((entry) => entry !== loss.owner);
  await waitUntil(
    async () => await findOwner(others, GROUP) !== undefined,
    { timeoutMs: RECOVERY_LIMIT_MS, what: "a new owner" },
  );
  const openedMs = performance.now();
  await waitUntil(
    () =>
      loss.load.results.some((result) =>
        result.endedMs > openedMs && countAnswered([result], HOME) === 1
      ),
    { timeoutMs: RECOVERY_LIMIT_MS, what: "answers from the new owner" },
  );
  const servedMs = performance.now() - lostMs;
  t.log(`served again after ${Math.round(servedMs)} ms`);
  t.true(servedMs <= RECOVERY_LIMIT_MS);
  assertSpareServes(t, loss, { lostMs, openedMs, before });
}

/** Checks calls made after peers detected the loss and before the takeover. */
function assertSpareServes(
  t: ExecutionContext,
  loss: OwnerLoss,
  times: { lostMs: number; openedMs: number; before: number },
): void {
  const { lostMs, openedMs, before } = times;
  const meanwhile = loss.load.results.slice(before).filter((result) =>
    result.startedMs > lostMs + DETECTION_MS && result.endedMs < openedMs
  );
  // Callers find the spare entries through their lookup. Entries of the home
  // region may be unable to shift load, because the lost owner of the group may
  // also have owned the ledger of the link.
  const spareEntries = new Set(
    loss.system.entries.filter(({ region }) => region === SPARE).map((
      { callers },
    ) => callers),
  );
  const isSpare = ({ call }: CallResult) => spareEntries.has(call.entry);
  const atSpare = meanwhile.filter(isSpare);
  const atHome = meanwhile.filter((result) => !isSpare(result));
  t.log(`meanwhile at the spare entries: ${describeResults(atSpare)}`);
  t.log(`meanwhile at the home entry: ${describeResults(atHome)}`);
  t.true(atSpare.length >= 16, `only ${atSpare.length} calls meanwhile`);
  t.is(countAnswered(atSpare, SPARE), atSpare.length);
}

async function assertSlots(
  t: ExecutionContext,
  { system, load }: OwnerLoss,
): Promise<void> {
  t.log(`so far: ${describeResults(load.results)}`);
  const counters = await readAllCounters(system);
  const full = counters.filter(({ maxInFlight }) => maxInFlight === SLOTS);
  for (const { server, overSlots, maxInFlight } of counters) {
    t.is(overSlots, 0, `${server} ran requests above its slots`);
    t.true(maxInFlight <= SLOTS);
  }
  t.true(full.length >= 3, "the load did not use all slots");
}

// The new owner must not use the slots of requests that the killed owner had
// dispatched, and must open the group in time.
test.serial("guards against slots in use twice and a closed group after its owner was killed", async (t) => {
  const loss = await startUnderLoad(t);
  loss.owner.process.kill();
  await waitForTakeover(t, loss);
  await assertSlots(t, loss);
});

// The owner is frozen past its lease. When it resumes, it must not dispatch
// requests to slots that the new owner uses.
test.serial("guards against a frozen owner that dispatches again with a new owner in place", async (t) => {
  const loss = await startUnderLoad(t);
  const before = (await readStatus(loss.owner)).session.incarnation;
  loss.owner.process.freeze();
  const frozenMs = performance.now();
  await waitForTakeover(t, loss);
  await waitUntil(() => performance.now() - frozenMs >= FROZEN_MS, {
    timeoutMs: FROZEN_MS,
    what: "the end of the freeze",
  });
  // Requests sent to the frozen entry are handled when it resumes, while the
  // new owner has more requests than slots.
  const sentWhileFrozen = makeBurst([loss.owner], FROZEN_MS).map(sendCall);
  loss.owner.process.resume();
  const atOthers = makeBurst(
    loss.system.entries.filter((entry) =>
      entry !== loss.owner && entry.region === HOME
    ),
    FROZEN_MS + 1,
  ).map(sendCall);
  const atResumed = await Promise.all(sentWhileFrozen);
  await Promise.all(atOthers);
  t.log(`at the resumed entry: ${describeResults(atResumed)}`);
  t.true(atResumed.every(({ outcome }) => outcome !== "lost"));
  await assertSlots(t, loss);
  const resumed = loss.load.results.length;
  await waitUntil(async () => {
    const { owned, session } = await readStatus(loss.owner);
    return session.incarnation > before &&
      !owned.some(({ service }) => service === SERVICE);
  }, { timeoutMs: 5_000, what: "a new session of the resumed entry" });
  await waitUntil(() => loss.load.results.length >= resumed + 48, {
    timeoutMs: 8_000,
    what: "load after the freeze",
  });
  await assertSlots(t, loss);
});
