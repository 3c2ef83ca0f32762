/**
 * A front on loopback with a forwarder that the test provides.
 *
 * @module
 */

import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import type { RouteRecord, RoutingDocument } from "@dotterelmoor/core.catalog";
import { DisposableStore } from "@dotterelmoor/core.types";
import { buildDocument, buildPlatform, buildRoute } from "../edge_fixture.ts";
import { createMemoryStore } from "../edge_fixture.ts";
import { createEdgeLog } from "../process/logging.ts";
import { createEdgeMetrics } from "../process/metrics.ts";
import { BodyReader } from "./body.ts";
import type { Forwarder } from "./forwarding.ts";
import { createFront } from "./front.ts";

/** Changes to the front's configuration. */
export interface FrontChanges {
  readonly route?: Partial<RouteRecord>;
  readonly limits?: Partial<RoutingDocument["limits"]>;
  /** Bytes that all large bodies may take together. */
  readonly maxLargeBytes?: number;
}

/** Starts a front with one route; its server closes after the test. */
export async function startFront(
  t: Pick<ExecutionContext, "teardown">,
  forwarder: Forwarder,
  { route, limits, maxLargeBytes }: FrontChanges = {},
) {
  const catalog = createCatalog({ zones: {} });
  const built = buildDocument(1, [buildRoute(route)]);
  const document = {
    ...built,
    limits: { ...built.limits, ...limits },
  };
  const changes = [{ type: "document", document } as const];
  catalog.applyTable("orders", { version: 1, isComplete: true, changes }, 0);
  const store = new DisposableStore();
  const front = createFront({
    catalog,
    forwarder,
    bodies: new BodyReader({ maxLargeBytes }),
    protocol: buildPlatform(createMemoryStore().createClient("n1")).callers,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: createEdgeLog({ level: "silent", instance: "n1", region: "a" }),
  });
  const server = createServer((request, response) =>
    front.handle(request, response)
  );
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { front, address: { host: "127.0.0.1", port } };
}
