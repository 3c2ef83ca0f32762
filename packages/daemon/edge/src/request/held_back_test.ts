import test from "ava";
import { createCatalog, createSplitter } from "@dotterelmoor/core.catalog";
import type { CatalogChange, TrackedServer } from "@dotterelmoor/core.catalog";
import type { Placer, PlaceRequest } from "@dotterelmoor/core.placing";
import { DisposableStore } from "@dotterelmoor/core.types";
import type {
  BackendClient,
  BackendResult,
} from "@dotterelmoor/network.backend";
import { buildDocument, buildRoute, buildServer } from "../edge_fixture.ts";
import { createEdgeLog } from "../process/logging.ts";
import { createEdgeMetrics } from "../process/metrics.ts";
import { OPEN_QUARANTINE } from "./forwarder_fixture.ts";
import { createForwarder } from "./forwarding.ts";

/** Creates a forwarder whose sends are answered by `responders` in order, the
 * last one repeatedly. A responder runs while its send waits for a connection,
 * and may change the catalog. */
function setUp(
  responders: readonly ((apply: Apply) => BackendResult)[],
  backingOff: ReadonlySet<string> = new Set(),
) {
  const catalog = createCatalog({ zones: { "a-1": "a", "b-1": "b" } });
  let version = 0;
  const apply: Apply = (table, change) => {
    version += 1;
    const update = { version, isComplete: false, changes: [change] };
    catalog.applyTable(table, update, performance.now());
  };
  const written: string[] = [];
  const contact = { isInContact: true };
  const suspended = { ms: 0 };
  const exit = { atMs: Infinity };
  const backend = {
    send: (request) => {
      const result = responders[Math.min(sends, responders.length - 1)]!(apply);
      sends += 1;
      const limitMs = request.workLimitMs?.() ?? Infinity;
      if (limitMs <= 0) return Promise.resolve({ type: "not_authorized" });
      written.push(request.ownHeaders?.["target"] ?? request.address);
      return Promise.resolve(result);
    },
  } as BackendClient;
  let sends = 0;
  const placer = {
    recordArrival: () => {},
    recordSend: () => {},
    recordEnd: () => {},
    place: (
      { excluded }: PlaceRequest,
      servers: readonly TrackedServer[],
    ) => {
      const server = servers.find(({ record }) =>
        !excluded.has(record.id) && !backingOff.has(record.id)
      );
      return server === undefined
        ? { type: "refuse", reason: "no-server", retryAfterMs: 1 }
        : { type: "send", server, rank: 0, expectedMs: 1_000, hasSlot: true };
    },
    wantsNone: ({ record }: TrackedServer) => backingOff.has(record.id),
  } as unknown as Placer;
  const store = new DisposableStore();
  const forwarder = createForwarder({
    catalog,
    placer,
    backend,
    crashes: { recordEnd: () => {} },
    quarantine: OPEN_QUARANTINE,
    splitter: createSplitter(),
    stalls: {
      waitForPendingReads: () => Promise.resolve(),
      suspendedMs: () => suspended.ms,
    },
    budgets: { recordRequest: () => {}, takeRetry: () => true },
    protocol: {
      targetHeader: "target",
      readLoad: () => undefined,
      readNotice: () => ({ isLeaving: false, backOffMs: undefined }),
    } as never,
    log: createEdgeLog({ level: "silent", instance: "n1", region: "a" }),
    metrics: createEdgeMetrics({ address: undefined, store }),
    isInContact: () => contact.isInContact,
  });
  const forward = () => {
    const nowMs = performance.now();
    return forwarder.forward({
      route: catalog.routes!.get("r1") ?? buildRoute(),
      host: "desk.example",
      requestId: "q1",
      fingerprint: "f1",
      object: undefined,
      method: "POST",
      path: "/a/x",
      headers: {},
      body: new Uint8Array(),
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + 1_000,
      exitsAtMs: () => exit.atMs,
      signal: new AbortController().signal,
    });
  };
  return { apply, forward, written, contact, suspended, exit };
}

type Apply = (table: "orders" | "servers", change: CatalogChange) => void;

const ANSWER: BackendResult = {
  type: "answered",
  status: 200,
  headers: {},
  body: new Uint8Array(),
};

function putRoute(apply: Apply, version: number, changes = {}): void {
  const document = buildDocument(version, [
    buildRoute({ maxAttempts: 3, ...changes }),
  ]);
  apply("orders", { type: "document", document });
}

function putServer(apply: Apply, id: string, changes = {}): void {
  const record = buildServer(id, "127.0.0.1:9", changes);
  apply("servers", { type: "server", record });
}

// The first server answers 500; the route becomes non-repeatable before the
// retry is written.
test("guards against a second run after a failure if the route becomes non-repeatable while the retry waits", async (t) => {
  const { apply, forward, written } = setUp([
    () => ({ ...ANSWER, status: 500 }) as BackendResult,
    (change) => {
      putRoute(change, 2, { repeatable: false });
      return ANSWER;
    },
  ]);
  putRoute(apply, 1, { repeatable: true });
  putServer(apply, "s1");
  putServer(apply, "s2");
  await forward();
  t.is(written.length, 1);
});

test("guards against a send to a server whose zone was evacuated while the send waited", async (t) => {
  const { apply, forward, written } = setUp([
    (change) => {
      change("orders", { type: "evacuation", zone: "a-1" });
      return ANSWER;
    },
  ]);
  putRoute(apply, 1);
  putServer(apply, "s1");
  await forward();
  t.deepEqual(written, []);
});

test("guards against a send to a server that asked for a back-off while the send waited", async (t) => {
  const backingOff = new Set<string>();
  const { apply, forward, written } = setUp([
    () => {
      backingOff.add("s1");
      return ANSWER;
    },
    () => ANSWER,
  ], backingOff);
  putRoute(apply, 1);
  putServer(apply, "s1");
  putServer(apply, "s2");
  await forward();
  t.deepEqual(written, ["s2"]);
});

test("guards against a send to a server that began to drain while the send waited", async (t) => {
  const { apply, forward, written } = setUp([
    (change) => {
      putServer(change, "s1", { state: "draining", sequence: 9 });
      return ANSWER;
    },
  ]);
  putRoute(apply, 1);
  putServer(apply, "s1");
  await forward();
  t.deepEqual(written, []);
});

// Without recent contact, a change of the route's regions may have been missed.
test("guards against a send by outdated regions after contact was lost while the send waited", async (t) => {
  const { apply, forward, written, contact } = setUp([
    () => {
      contact.isInContact = false;
      return ANSWER;
    },
  ]);
  putRoute(apply, 1, { allowedRegions: ["a"] });
  putServer(apply, "s1");
  await forward();
  t.deepEqual(written, []);
});

// The monotonic clock stops while the instance is suspended, so the deadline
// seems to be ahead although the caller has given up.
test("guards against a send beyond the caller's deadline after a suspension", async (t) => {
  const { apply, forward, written, suspended } = setUp([
    () => {
      suspended.ms = 5_000;
      return ANSWER;
    },
  ]);
  putRoute(apply, 1);
  putServer(apply, "s1");
  const { outcome } = await forward();
  t.deepEqual(written, []);
  t.is(outcome.type, "not-run");
});

// Its time may end after the process's; another entry can still run it.
test("guards against sending a request that waits for a connection when a shutdown starts which may cut it off", async (t) => {
  const { apply, forward, written, exit } = setUp([() => {
    exit.atMs = performance.now() + 500;
    return ANSWER;
  }]);
  putRoute(apply, 1);
  putServer(apply, "s1");
  const { outcome } = await forward();
  t.like(outcome, { type: "not-run", reason: "leaving" });
  t.deepEqual(written, []);
});

// As above; the shutdown starts once the first send is written.
test("guards against sending a request again, which a server refused, in a shutdown that may cut it off", async (t) => {
  const { apply, forward, written, exit } = setUp([() => {
    queueMicrotask(() => exit.atMs = performance.now() + 500);
    return { type: "refused" } as BackendResult;
  }]);
  putRoute(apply, 1);
  for (const id of ["s1", "s2"]) putServer(apply, id);
  const { outcome } = await forward();
  t.like(outcome, { type: "not-run", reason: "leaving" });
  t.is(written.length, 1);
});

// The caller would get the lost answer of the first server instead.
test("guards against a repeatable request that is not retried because a shutdown may cut it off", async (t) => {
  const { apply, forward, written, exit } = setUp([
    () => ({ type: "connection_lost" }) as BackendResult,
    () => {
      exit.atMs = performance.now() + 500;
      return ANSWER;
    },
  ]);
  putRoute(apply, 1);
  for (const id of ["s1", "s2"]) putServer(apply, id);
  t.like((await forward()).outcome, { type: "answered", status: 200 });
  t.is(written.length, 2);
});
