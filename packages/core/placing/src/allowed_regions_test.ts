import test from "ava";
import fc from "fast-check";
import type { TrackedServer } from "@dotterelmoor/core.catalog";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createPlacer } from "./mod.ts";
import type { Placement, PlaceRequest, SendOutcome } from "./mod.ts";

const SEED = 20261204;
const REGIONS = ["a", "b", "c"] as const;

/** Time in milliseconds after a failed connection for which a server may be
 * skipped: it may be paused, and may have restarted. */
const UNHEALTHY_MS = 3_500;

interface Setup {
  readonly servers: readonly TrackedServer[];
  /** Indexes of the unreachable servers. */
  readonly down: readonly number[];
  readonly assigned: readonly (number | undefined)[];
}

interface Step {
  readonly object: number | undefined;
  readonly allowedRegions: readonly string[];
  readonly excluded: readonly number[];
  readonly outcome: SendOutcome | undefined;
  readonly others: readonly number[];
  readonly coldPerSecond: number;
  readonly afterMs: number;
}

const arbitraryServer = fc.record({
  region: fc.constantFrom(...REGIONS),
  slots: fc.integer({ min: 1, max: 4 }),
  coldUntilMs: fc.constantFrom(-Infinity, -Infinity, 2_000, 60_000),
});

function makeServers(
  drawn: readonly {
    readonly region: string;
    readonly slots: number;
    readonly coldUntilMs: number;
  }[],
): TrackedServer[] {
  return drawn.map(({ region, slots, coldUntilMs }, index) => ({
    record: {
      id: `s${index}`,
      service: "desk",
      address: `10.0.0.${index}:80`,
      zone: `${region}-1`,
      slots,
      state: "ready",
      coldMs: 0,
      bornMs: 1,
      sequence: 1,
    },
    region,
    coldUntilMs,
    missingSinceMs: undefined,
  }));
}

const arbitrarySetup: fc.Arbitrary<Setup> = fc.record({
  servers: fc.array(arbitraryServer, { minLength: 1, maxLength: 40 })
    .map(makeServers),
  down: fc.uniqueArray(fc.nat(39), { maxLength: 30 }),
  assigned: fc.array(fc.option(fc.nat(30), { nil: undefined }), {
    minLength: 4,
    maxLength: 4,
  }),
});

const arbitraryStep: fc.Arbitrary<Step> = fc.record({
  object: fc.option(fc.nat(3), { nil: undefined }),
  // Drawn for each step, so that the regions allowed for an object change.
  allowedRegions: fc.subarray([...REGIONS, "nowhere"]),
  excluded: fc.array(fc.nat(23), { maxLength: 4 }),
  outcome: fc.constantFrom<SendOutcome | undefined>(
    undefined,
    "answered",
    "failed",
    "shed",
    "unreachable",
  ),
  others: fc.array(fc.nat(6), { maxLength: 6 }),
  coldPerSecond: fc.constantFrom(0, 1, 50),
  afterMs: fc.constantFrom(0, 1, 50, 700, 5_000),
});

function makeRequest({ object, ...step }: Step): PlaceRequest {
  return {
    service: "desk",
    route: "r1",
    object: object === undefined ? undefined : String(object),
    targetLatencyMs: 250,
    remainingMs: 1_200,
    ageMs: 0,
    allowedRegions: step.allowedRegions,
    excluded: new Set(step.excluded.map((index) => `s${index}`)),
    coldPerSecond: step.coldPerSecond,
  };
}

/** One placement and the state of the servers at that moment. */
interface Observation {
  readonly request: PlaceRequest;
  readonly placement: Placement;
  readonly servers: readonly TrackedServer[];
  readonly nowMs: number;
  /** True if a server is warm, healthy and has a free slot. */
  readonly hasRoom: (server: TrackedServer) => boolean;
}

/** Places one request per step and records how its send ended. */
function* run(setup: Setup, steps: readonly Step[]): Generator<Observation> {
  const { servers, assigned, down } = setup;
  const generator = xoroshiro128plus(SEED);
  const placer = createPlacer({
    homeRegion: "a",
    random: () => uniformFloat64(generator),
    countEntries: () => 2,
    findAssigned: (key) => {
      const index = assigned[Number(key.split(" ")[1])];
      return index === undefined ? undefined : `s${index}`;
    },
  });
  const unreachableAtMs = new Map<string, number>();
  let nowMs = 0;
  for (const step of steps) {
    nowMs += step.afterMs;
    const others = new Map(
      step.others.map((count, index) => [`s${index}`, count]),
    );
    placer.setOtherLoads(others, nowMs);
    placer.recordArrival();
    const request = makeRequest(step);
    const counts = placer.countInFlight();
    const placement = placer.place(request, servers, nowMs);
    const atMs = nowMs;
    const hasRoom = ({ record, coldUntilMs }: TrackedServer) => {
      const { id, slots } = record;
      const busy = (counts.get(id) ?? 0) + (others.get(id) ?? 0);
      return busy < slots && atMs >= coldUntilMs &&
        atMs - (unreachableAtMs.get(id) ?? -Infinity) >= UNHEALTHY_MS;
    };
    yield { request, placement, servers, nowMs, hasRoom };
    if (placement.type !== "send") continue;
    placer.recordSend(placement, request, nowMs);
    const { id } = placement.server.record;
    const outcome = down.includes(Number(id.slice(1)))
      ? "unreachable"
      : step.outcome;
    if (outcome === undefined) continue;
    if (outcome === "unreachable") unreachableAtMs.set(id, nowMs);
    const end = { outcome, elapsedMs: 40, load: undefined, nowMs };
    placer.recordEnd(placement, request, end);
  }
}

function isAllowed({ region }: TrackedServer, request: PlaceRequest): boolean {
  const { allowedRegions } = request;
  return allowedRegions.length === 0 || allowedRegions.includes(region);
}

const arbitrarySteps = fc.array(arbitraryStep, { minLength: 1, maxLength: 60 });

// A request must not run in a region that its operator forbids.
test("guards against a server outside a route's regions, or one tried before", (t) => {
  fc.assert(
    fc.property(arbitrarySetup, arbitrarySteps, (setup, steps) => {
      for (const { request, placement, servers } of run(setup, steps)) {
        if (placement.type !== "send") continue;
        const { server } = placement;
        if (!servers.includes(server)) return false;
        if (!isAllowed(server, request)) return false;
        if (request.excluded.has(server.record.id)) return false;
      }
      return true;
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  t.pass();
});

// Regions without a usable server must not hide one in another allowed region.
test("guards against a refusal with `no-server` while an allowed server has room", (t) => {
  fc.assert(
    fc.property(arbitrarySetup, arbitrarySteps, (setup, steps) => {
      for (
        const { request, placement, servers, hasRoom } of run(setup, steps)
      ) {
        if (placement.type === "send" || placement.reason !== "no-server") {
          continue;
        }
        const free = servers.find((server) =>
          isAllowed(server, request) && hasRoom(server) &&
          !request.excluded.has(server.record.id)
        );
        if (free !== undefined) {
          throw new Error(`${free.record.id} in ${free.region} has room`);
        }
      }
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  t.pass();
});

// The placer considers a limited number of servers for each object; unreachable
// ones must not use up that number.
test("guards against refusals in a region whose first servers for an object are down", (t) => {
  const drawn = { region: "a", slots: 4, coldUntilMs: -Infinity };
  const servers = makeServers(Array(20).fill(drawn));
  const down = [...servers.keys()].slice(0, 18);
  const steps: Step[] = [...Array(120).keys()].map((index) => ({
    object: index % 4,
    allowedRegions: ["a"],
    excluded: [],
    outcome: "answered",
    others: [],
    coldPerSecond: 1,
    afterMs: 1,
  }));
  const refused = [...run({ servers, down, assigned: [] }, steps)]
    .filter(({ placement }) => placement.type === "refuse");
  t.is(refused.length, 0);
});
