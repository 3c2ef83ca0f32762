import test from "ava";
import type { ServerRecord, TrackedServer } from "@dotterelmoor/core.catalog";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createPlacer } from "./mod.ts";
import type { PlaceRequest, SendEnd } from "./mod.ts";

const SEED = 20261204;

function makeServer(
  id: string,
  region = "home",
  changes: Partial<ServerRecord> = {},
): TrackedServer {
  const record: ServerRecord = {
    id,
    service: "desk",
    address: "10.0.0.1:80",
    zone: `${region}-1`,
    slots: 3,
    state: "ready",
    coldMs: 0,
    bornMs: 1,
    sequence: 1,
    ...changes,
  };
  return {
    record,
    region,
    coldUntilMs: -Infinity,
    missingSinceMs: undefined,
  };
}

function makeRequest(changes: Partial<PlaceRequest> = {}): PlaceRequest {
  return {
    service: "desk",
    route: "r1",
    object: "17",
    targetLatencyMs: 250,
    remainingMs: 1_200,
    ageMs: 0,
    allowedRegions: [],
    excluded: new Set(),
    coldPerSecond: 10,
    ...changes,
  };
}

function createHome(countEntries = 1, seed = SEED) {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  return createPlacer({
    homeRegion: "home",
    random,
    countEntries: () => countEntries,
    findAssigned: () => undefined,
  });
}

const ANSWERED: SendEnd = {
  outcome: "answered",
  elapsedMs: 77,
  load: { running: 0, waiting: 0, slots: 3 },
};

/** Sends one request and ends it at once. Returns the id of the server, or the
 * reason of a refusal. */
function run(
  placer: ReturnType<typeof createHome>,
  servers: readonly TrackedServer[],
  options: {
    readonly request: PlaceRequest;
    readonly nowMs: number;
    readonly end?: SendEnd;
  },
): string {
  const { request, nowMs, end = ANSWERED } = options;
  placer.recordArrival();
  const placement = placer.place(request, servers, nowMs);
  if (placement.type !== "send") return placement.reason;
  placer.recordSend(placement, request, nowMs);
  placer.recordEnd(placement, request, { ...end, nowMs });
  return placement.server.record.id;
}

const HOME = ["h1", "h2", "h3", "h4"].map((id) => makeServer(id));

// An object that changes its server runs cold there.
test("guards against an object that does not stay at its server", (t) => {
  const placer = createHome();
  const first = run(placer, HOME, { request: makeRequest(), nowMs: 0 });
  for (let index = 1; index < 50; index++) {
    const chosen = run(placer, HOME, {
      request: makeRequest(),
      nowMs: index * 100,
    });
    t.is(chosen, first);
  }
});

test("guards against entries that place one object at different servers", (t) => {
  for (let object = 0; object < 30; object++) {
    const request = makeRequest({ object: String(object) });
    const chosen = [createHome(), createHome()].map((placer) =>
      run(placer, HOME, { request, nowMs: 0 })
    );
    t.is(chosen[0], chosen[1]);
  }
});

// A hash modulo the number of servers would move most objects.
test("guards against a server whose removal moves the objects of others", (t) => {
  const placer = createHome();
  let moved = 0;
  for (let object = 0; object < 100; object++) {
    const request = makeRequest({ object: String(object) });
    const before = run(placer, HOME, { request, nowMs: 0 });
    const after = run(placer, HOME.slice(1), { request, nowMs: 0 });
    if (before === "h1") t.not(after, "h1");
    else if (before !== after) moved += 1;
  }
  t.is(moved, 0);
});

test("guards against an object that queues while other servers are free", (t) => {
  const placer = createHome();
  const request = makeRequest();
  const used = new Set<string>();
  for (let index = 0; index < 12; index++) {
    const placement = placer.place(request, HOME, 0);
    if (placement.type !== "send") return t.fail();
    placer.recordSend(placement, request, 0);
    used.add(placement.server.record.id);
  }
  t.true(used.size >= 2);
});

// A queue of requests that are late anyway would delay every later request.
test("guards against queueing requests that cannot be answered in time", (t) => {
  const placer = createHome();
  const [server] = HOME;
  const request = makeRequest();
  let refused = 0;
  for (let index = 0; index < 30; index++) {
    const placement = placer.place(request, [server!], 0);
    if (placement.type === "send") {
      placer.recordSend(placement, request, 0);
      continue;
    }
    refused += 1;
    t.is(placement.reason, "too-late");
    t.true(placement.retryAfterMs > 0);
  }
  t.true(refused > 0);
});

// The run time guessed from the target latency can exceed the deadline.
test("guards against refusals of a new route by its guessed run time", (t) => {
  const placer = createHome();
  for (let index = 0; index < 10; index++) {
    run(placer, HOME, { request: makeRequest(), nowMs: index });
  }
  const request = makeRequest({
    route: "r2",
    targetLatencyMs: 5_000,
    remainingMs: 300,
  });
  t.regex(run(placer, HOME, { request, nowMs: 100 }), /^h/);
  const fresh = createHome();
  t.regex(run(fresh, HOME, { request, nowMs: 100 }), /^h/);
});

// A route that is refused at free servers never gets samples of its own, so it
// would stay refused.
test("guards against refusals of a new route by the run times of its service", (t) => {
  const placer = createHome();
  const end: SendEnd = { ...ANSWERED, elapsedMs: 1_300 };
  const common = { object: undefined, targetLatencyMs: 800 };
  for (let index = 0; index < 20; index++) {
    const request = makeRequest({ ...common, remainingMs: 6_000 });
    t.regex(run(placer, HOME, { request, nowMs: index * 2_000, end }), /^h/);
  }
  const known = makeRequest({ ...common, remainingMs: 600 });
  t.is(run(placer, HOME, { request: known, nowMs: 50_000 }), "too-late");
  const added = makeRequest({ ...known, route: "r2" });
  t.regex(run(placer, HOME, { request: added, nowMs: 50_000 }), /^h/);
});

// Runs without an object are short, and were counted as warm runs of the
// route's objects.
test("guards against refusals of requests without an object by the cold runs of others", (t) => {
  const placer = createHome();
  const cold: SendEnd = { ...ANSWERED, elapsedMs: 1_300 };
  const short: SendEnd = { ...ANSWERED, elapsedMs: 150 };
  const common = { targetLatencyMs: 800, remainingMs: 6_000 };
  for (let index = 0; index < 40; index++) {
    const nowMs = index * 2_000;
    const request = makeRequest({ ...common, object: String(index) });
    t.regex(run(placer, HOME, { request, nowMs, end: cold }), /^h/);
  }
  for (let index = 0; index < 40; index++) {
    const nowMs = 90_000 + index * 100;
    const request = makeRequest({
      ...common,
      object: undefined,
      remainingMs: 900,
    });
    t.regex(run(placer, HOME, { request, nowMs, end: short }), /^h/);
  }
});

test("guards against requests to an unreachable server during its pause", (t) => {
  const placer = createHome();
  const request = makeRequest();
  const end: SendEnd = {
    outcome: "unreachable",
    elapsedMs: 1,
    load: undefined,
  };
  const first = run(placer, HOME, { request, nowMs: 0, end });
  for (let nowMs = 10; nowMs < 150; nowMs += 10) {
    t.not(run(placer, HOME, { request, nowMs }), first);
  }
});

test("guards against a server that fails requests and keeps its objects", (t) => {
  const placer = createHome();
  const request = makeRequest();
  const first = run(placer, HOME, { request, nowMs: 0 });
  const end: SendEnd = { outcome: "failed", elapsedMs: 5, load: undefined };
  let sent = 0;
  for (let index = 1; index <= 40; index++) {
    const nowMs = index * 50;
    placer.recordArrival();
    const placement = placer.place(request, HOME, nowMs);
    if (placement.type !== "send") return t.fail();
    placer.recordSend(placement, request, nowMs);
    const isFirst = placement.server.record.id === first;
    if (isFirst) sent += 1;
    placer.recordEnd(placement, request, {
      ...(isFirst ? end : ANSWERED),
      nowMs,
    });
  }
  t.true(sent < 15, `${sent} of 40 sent to the failing server`);
});

test("guards against more requests to a cold server than all entries may send", (t) => {
  const entries = 4;
  const cold = { ...makeServer("h1"), coldUntilMs: 10_000 };
  let sent = 0;
  for (let entry = 0; entry < entries; entry++) {
    const placer = createHome(entries);
    for (let nowMs = 1_000; nowMs < 2_000; nowMs += 5) {
      const request = makeRequest({ object: String(nowMs) });
      if (run(placer, [cold], { request, nowMs }) === "h1") sent += 1;
    }
  }
  // The rate for one second, and a burst of one request per entry.
  t.true(sent <= 10 + entries, `${sent} in one second`);
  t.true(sent >= 8);
});

// Each entry started with a whole token, regardless of how many entries share
// the rate limit.
test("guards against a burst from many entries at a server that becomes cold", (t) => {
  const entries = 65;
  const placers = Array.from(
    { length: entries },
    // Adjacent seeds give similar first numbers.
    (_, index) => createHome(entries, Math.imul(SEED, 2 * index + 1)),
  );
  const request = makeRequest({ coldPerSecond: 10 });
  const countSends = (cold: TrackedServer, fromMs: number, gapMs = 50) => {
    let sent = 0;
    for (let nowMs = fromMs; nowMs < fromMs + 1_000; nowMs += gapMs) {
      for (const placer of placers) {
        if (run(placer, [cold], { request, nowMs }) === "h1") sent += 1;
      }
    }
    return sent;
  };
  const first = { ...makeServer("h1"), coldUntilMs: 5_000 };
  // 1.5 times the rate for one second, and five more.
  const bound = 10 * 1.5 + 5;
  const sent = countSends(first, 1_000);
  t.true(sent <= bound, `${sent} in the first second`);
  t.true(sent > 0);
  const again = { ...makeServer("h1"), coldUntilMs: 25_000 };
  const sentAgain = countSends(again, 20_000);
  t.true(sentAgain <= bound, `${sentAgain} after it became cold again`);
  // Each entry of a large fleet has one request for the server in that second.
  const seldom = { ...makeServer("h1"), coldUntilMs: 45_000 };
  const sentSeldom = countSends(seldom, 40_000, 1_000);
  t.true(sentSeldom <= bound, `${sentSeldom} by entries with one request`);
  t.true(sentSeldom >= 3, `${sentSeldom} by entries with one request`);
});

test("guards against servers of regions that a route does not allow", (t) => {
  const placer = createHome();
  const servers = [...HOME, makeServer("x1", "away")];
  const request = makeRequest({ allowedRegions: ["away"] });
  t.is(run(placer, servers, { request, nowMs: 0 }), "x1");
  const none = makeRequest({ allowedRegions: ["far"] });
  t.is(run(placer, servers, { request: none, nowMs: 0 }), "no-server");
});

test("guards against a region without servers that keeps its requests", (t) => {
  const placer = createHome();
  const servers = [makeServer("x1", "away")];
  t.is(run(placer, servers, { request: makeRequest(), nowMs: 0 }), "x1");
});
