/**
 * Starts whole entries and backend servers for one test.
 *
 * @module
 */

import type { ExecutionContext } from "ava";
import {
  buildDocument,
  buildPlatform,
  buildRoute,
  buildServer,
  buildSettings,
  callEdge,
  startBackend,
} from "./edge_fixture.ts";
import type { MemoryStore, TestBackend } from "./edge_fixture.ts";
import { startEdge } from "./mod.ts";
import type { EdgeSettings } from "./mod.ts";

/** Polls until a condition holds; fails the test after `limitMs`. */
export async function waitUntil(
  t: ExecutionContext,
  isTrue: () => Promise<boolean>,
  limitMs = 5_000,
): Promise<void> {
  const endAtMs = performance.now() + limitMs;
  while (!await isTrue()) {
    if (performance.now() > endAtMs) return t.fail(`Not within ${limitMs} ms`);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  t.pass();
}

/** Starts an entry that shuts down after the test; resolves when it is ready. */
export async function startReadyEdge(
  t: ExecutionContext,
  store: MemoryStore,
  changes: Partial<EdgeSettings> = {},
) {
  const name = changes.instance ?? "n1";
  const settings = await buildSettings(name, changes);
  const platform = buildPlatform(store.createClient(name));
  const edge = await startEdge(settings, platform);
  let hasLeft = false;
  const leave = () => {
    hasLeft = true;
    return edge.leave();
  };
  t.teardown(() => hasLeft ? undefined : edge.leave());
  const isReady = async () =>
    (await callEdge(settings.readiness, { path: "/ready" })).status === 200;
  await waitUntil(t, isReady);
  return { settings, leave, isReady };
}

/** Starts backend servers that close after the test. */
export async function startBackends(
  t: ExecutionContext,
  handles: readonly Parameters<typeof startBackend>[0][],
): Promise<TestBackend[]> {
  const backends: TestBackend[] = [];
  for (const handle of handles) {
    const backend = await startBackend(handle);
    t.teardown(() => backend.close());
    backends.push(backend);
  }
  return backends;
}

/** Writes a configuration with one route and the backend servers of its service
 * to the store. */
export function putRouteAndServers(
  store: MemoryStore,
  backends: readonly TestBackend[],
  route = buildRoute(),
): void {
  const document = buildDocument(1, [route]);
  store.put("orders", "config", { type: "document", document });
  backends.forEach(({ address }, index) => {
    const record = buildServer(`s${index}`, address);
    store.put("servers", record.id, { type: "server", record });
  });
}
