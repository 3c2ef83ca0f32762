/**
 * A front on loopback with a forwarder that the test provides.
 *
 * @module
 */

import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { createCatalog } from "@dotterelmoor/core.catalog";
import type { RouteRecord, RoutingDocument } from "@dotterelmoor/core.catalog";
import { DisposableStore } from "@dotterelmoor/core.types";
import { buildDocument, buildPlatform, buildRoute } from "../edge_fixture.ts";
import { createMemoryStore } from "../edge_fixture.ts";
import { createCallerServer } from "../process/caller_server.ts";
import { HeaderLimit } from "../process/header_limit.ts";
import { createEdgeLog } from "../process/logging.ts";
import { createEdgeMetrics } from "../process/metrics.ts";
import { BodyReader } from "./body.ts";
import type { Forwarder } from "./forwarding.ts";
import { createFront } from "./front.ts";

/** Options of `startFront`. */
export interface FrontServerOptions {
  readonly route?: Partial<RouteRecord>;
  readonly limits?: Partial<RoutingDocument["limits"]>;
  /** Bytes that all large bodies may take together. */
  readonly maxLargeBytes?: number;
  /** Time in milliseconds in which a head must arrive. */
  readonly headersMs?: number;
  /** Interval in milliseconds between checks for late heads. */
  readonly checkMs?: number;
}

/** Starts a front with one route; its server closes after the test. */
export async function startFront(
  t: Pick<ExecutionContext, "teardown">,
  forwarder: Forwarder,
  options: FrontServerOptions = {},
) {
  const { route, limits, maxLargeBytes } = options;
  const catalog = createCatalog({ zones: {} });
  const built = buildDocument(1, [buildRoute(route)]);
  const document = { ...built, limits: { ...built.limits, ...limits } };
  const changes = [{ type: "document", document } as const];
  catalog.applyTable("orders", { version: 1, isComplete: true, changes }, 0);
  const store = new DisposableStore();
  const headerLimit = new HeaderLimit();
  headerLimit.set(document.limits.maxHeaderBytes);
  const parts = {
    headerLimit,
    bodies: new BodyReader({ maxLargeBytes }),
    protocol: buildPlatform(createMemoryStore().createClient("n1")).callers,
    metrics: createEdgeMetrics({ address: undefined, store }),
    log: createEdgeLog({ level: "silent", instance: "n1", region: "a" }),
  };
  const front = createFront({ catalog, forwarder, ...parts });
  const server = createCallerServer({ front, ...parts, ...options });
  const { headersMs } = options;
  if (headersMs !== undefined) server.headersTimeout = headersMs;
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    front,
    callers: server,
    metrics: parts.metrics,
    address: { host: "127.0.0.1", port },
  };
}
