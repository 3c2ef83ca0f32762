import { createHash } from "node:crypto";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import test from "ava";
import type { ExecutionContext } from "ava";
import type { RouteRecord } from "@dotterelmoor/core.catalog";
import {
  buildDocument,
  buildRoute,
  buildServer,
  callEdge,
  createMemoryStore,
  findPort,
  TEST_BOUNDS,
} from "./edge_fixture.ts";
import { putAll, startBackends, startReady } from "./started_fixture.ts";

/** Time in milliseconds for which a large answer is on its way: longer than an
 * entry waits before it asks another one. */
const DELAY_MS = 700;

/** Bytes from which on a piece of an answer counts as large. */
const LARGE_BYTES = 4_096;

const OTHER_ROUTES = 1_400;

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Listens for an entry that listens on 127.0.0.1. Large pieces of what it
 * answers come late, as at a peer that handles them turn by turn. */
async function startSlowPath(t: ExecutionContext, port: number): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((near) => {
    const far = connect(port, "127.0.0.1");
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => {
        near.destroy();
        far.destroy();
      });
    }
    near.pipe(far);
    far.on("data", (chunk: Buffer) => {
      if (chunk.length < LARGE_BYTES) return near.write(chunk);
      far.pause();
      setTimeout(() => {
        near.write(chunk);
        far.resume();
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

/** Starts two entries of one region. The small one follows the other one over a
 * slow path, and the store turns it away. */
async function startFollower(t: ExecutionContext) {
  const store = createMemoryStore();
  const backends = await startBackends(t, [undefined, undefined]);
  putAll(store, backends);
  const port = await findPort();
  await startSlowPath(t, port);
  const reader = await startReady(t, store, {
    instance: "reader",
    peers: { host: "127.0.0.2", port },
    listenHost: "127.0.0.1",
  });
  const { settings } = await startReady(t, store, {
    instance: "follower",
    capacity: 100,
    seeds: [`127.0.0.2:${port}`],
  });
  // Both know each other, and the small one no longer reads for itself.
  await wait(1_500);
  store.setDown(true, "follower");
  return { store, backends, reader, follower: settings.callers };
}

/** Routes whose names do not compress well. */
function buildRoutes(count: number): RouteRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const name = createHash("sha256").update(`${index}`).digest("hex");
    return buildRoute({ name, prefix: `/${name.slice(0, 16)}/` });
  });
}

// At a busy entry, and on a slow path, a large answer takes longer than an entry
// waits before it asks another one. Dropped as late, it is asked for anew, and
// with it all that has changed since.
test("guards against changes that never reach an entry whose peers answer late", async (t) => {
  const { store, backends, follower } = await startFollower(t);
  const added = buildRoute({ name: "r2", prefix: "/b/" });
  const document = buildDocument(2, [
    buildRoute(),
    added,
    ...buildRoutes(OTHER_ROUTES),
  ]);
  store.put("orders", "config", { type: "document", document });
  const [left, stayed] = backends;
  const record = buildServer("s0", left!.address, {
    state: "draining",
    sequence: 2,
  });
  store.put("servers", "s0", { type: "server", record });
  await wait(TEST_BOUNDS.configurationApplyMs);
  left!.requests.length = 0;
  stayed!.requests.length = 0;
  for (let index = 0; index < 8; index++) {
    const id = `late${index}`;
    const { status } = await callEdge(follower, { path: `/b/${index}`, id });
    t.is(status, 200);
  }
  t.is(left!.requests.length, 0);
  t.is(stayed!.requests.length, 8);
});
