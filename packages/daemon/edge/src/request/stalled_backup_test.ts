import test from "ava";
import { createCatalog, createSplitter } from "@dotterelmoor/core.catalog";
import { createPlacer } from "@dotterelmoor/core.placing";
import { DisposableStore } from "@dotterelmoor/core.types";
import type {
  BackendClient,
  BackendResult,
} from "@dotterelmoor/network.backend";
import { buildDocument, buildRoute, buildServer } from "../edge_fixture.ts";
import { wait } from "../process/intervals.ts";
import { createEdgeMetrics } from "../process/metrics.ts";
import { createForwarder } from "./forwarding.ts";

const ANSWER: BackendResult = {
  type: "answered",
  status: 200,
  headers: {},
  body: new Uint8Array(),
};

/** Forwards one request; its answer is read when the stall has settled. */
async function forwardStalled(stalls: { settle(): Promise<void> | undefined }) {
  const catalog = createCatalog({ zones: { "a-1": "a" } });
  const document = buildDocument(1, [buildRoute()]);
  catalog.applyTable("orders", {
    version: 1,
    isComplete: true,
    changes: [{ type: "document", document }],
  }, 0);
  const servers = ["s1", "s2"].map((id) => ({
    type: "server" as const,
    record: buildServer(id, id),
  }));
  const update = { version: 1, isComplete: true, changes: servers };
  catalog.applyTable("servers", update, 0);
  const sent: string[] = [];
  let markRead = () => {};
  const read = new Promise<void>((resolve) => markRead = resolve);
  const backend = {
    send: async ({ address, workLimitMs }) => {
      workLimitMs?.();
      sent.push(address);
      await read;
      return ANSWER;
    },
  } as BackendClient;
  const forwarder = createForwarder({
    catalog,
    placer: createPlacer({
      homeRegion: "a",
      random: Math.random,
      countEntries: () => 1,
      findAssigned: () => undefined,
    }),
    backend,
    splitter: createSplitter(),
    budgets: { recordRequest: () => {}, takeRetry: () => true },
    stalls: {
      settle: () => {
        if (sent.length === 0) return undefined;
        return stalls.settle()?.then(() => {
          markRead();
          return wait(1);
        });
      },
      suspendedMs: () => 0,
    },
    protocol: { targetHeader: "target", readLoad: () => undefined } as never,
    metrics: createEdgeMetrics({
      address: undefined,
      store: new DisposableStore(),
    }),
    isInContact: () => true,
  });
  const timer = setTimeout(markRead, 1_500);
  const nowMs = performance.now();
  await forwarder.forward({
    route: document.routes[0]!,
    host: "desk.example",
    requestId: "q1",
    object: undefined,
    method: "GET",
    path: "/a/x",
    headers: {},
    body: new Uint8Array(),
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + 5_000,
    signal: new AbortController().signal,
  });
  clearTimeout(timer);
  return sent;
}

// Its answer arrived while the process stood still, and was not read yet.
test("guards against a run that is started again because its entry stood still", async (t) => {
  const sent = await forwardStalled({ settle: () => Promise.resolve() });
  t.is(sent.length, 1);
});

test("guards against an overdue answer that no second server is asked for", async (t) => {
  const sent = await forwardStalled({ settle: () => undefined });
  t.is(sent.length, 2);
});
