import { createHash } from "node:crypto";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import type { RouteRecord } from "@dotterelmoor/core.catalog";
import { claimPort } from "../../../network/peering/src/claimed_ports_fixture.ts";
import {
  buildDocument,
  buildRoute,
  buildServer,
  callEdge,
  createMemoryStore,
  TEST_BOUNDS,
} from "./edge_fixture.ts";
import {
  putRouteAndServers,
  startBackends,
  startReadyEdge,
} from "./started_fixture.ts";

/** Delay in milliseconds of a large answer: longer than an entry waits before it
 * asks another one. */
const DELAY_MS = 700;

/** Size in bytes from which on a chunk counts as part of a large answer. */
const LARGE_BYTES = 4_096;

const OTHER_ROUTES = 1_400;

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Starts a proxy on 127.0.0.2 for an entry that listens on 127.0.0.1. It delays
 * large chunks of answers, as a busy peer would. */
async function startSlowProxy(
  t: ExecutionContext,
  port: number,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((client) => {
    const upstream = connect(port, "127.0.0.1");
    for (const socket of [client, upstream]) {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => {
        client.destroy();
        upstream.destroy();
      });
    }
    client.pipe(upstream);
    upstream.on("data", (chunk: Buffer) => {
      if (chunk.length < LARGE_BYTES) return client.write(chunk);
      upstream.pause();
      setTimeout(() => {
        client.write(chunk);
        upstream.resume();
      }, DELAY_MS);
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.2", resolve)
  );
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
}

/** Starts two entries of one region. The one on the smaller instance pulls the
 * catalog from the other one, the reader, through the slow proxy, and the store
 * refuses it. */
async function startFollower(t: ExecutionContext) {
  const store = createMemoryStore();
  const backends = await startBackends(t, [undefined, undefined]);
  putRouteAndServers(store, backends);
  const port = await claimPort();
  await startSlowProxy(t, port);
  const reader = await startReadyEdge(t, store, {
    instance: "reader",
    peers: { host: "127.0.0.2", port },
    listenHost: "127.0.0.1",
  });
  const { settings } = await startReadyEdge(t, store, {
    instance: "follower",
    capacity: 100,
    seeds: [`127.0.0.2:${port}`],
  });
  // Until both know each other, and the follower no longer reads the store.
  await wait(1_500);
  store.setDown(true, "follower");
  return { store, backends, reader, follower: settings.callers };
}

/** Builds routes whose names do not compress well. */
function buildRoutes(count: number): RouteRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const name = createHash("sha256").update(`${index}`).digest("hex");
    return buildRoute({ name, prefix: `/${name.slice(0, 16)}/` });
  });
}

// From a busy peer or over a slow network, a large answer may take longer than
// an entry waits before it asks another peer. If late answers were dropped,
// it would pull the same and all later changes again, and never catch up.
test("guards against changes that never reach an entry whose peers answer late", async (t) => {
  const { store, backends, follower } = await startFollower(t);
  const added = buildRoute({ name: "r2", prefix: "/b/" });
  const document = buildDocument(2, [
    buildRoute(),
    added,
    ...buildRoutes(OTHER_ROUTES),
  ]);
  store.put("orders", "config", { type: "document", document });
  const [draining, remaining] = backends;
  const record = buildServer("s0", draining!.address, {
    state: "draining",
    sequence: 2,
  });
  store.put("servers", "s0", { type: "server", record });
  await wait(TEST_BOUNDS.configurationApplyMs);
  draining!.requests.length = 0;
  remaining!.requests.length = 0;
  for (let index = 0; index < 8; index++) {
    const id = `late${index}`;
    const { status } = await callEdge(follower, { path: `/b/${index}`, id });
    t.is(status, 200);
  }
  t.is(draining!.requests.length, 0);
  t.is(remaining!.requests.length, 8);
});
