/**
 * A forwarder with two backend servers whose answers the test provides.
 *
 * @module
 */

import { createCatalog, createSplitter } from "@dotterelmoor/core.catalog";
import { createPlacer } from "@dotterelmoor/core.placing";
import { DisposableStore } from "@dotterelmoor/core.types";
import type {
  BackendClient,
  BackendResult,
} from "@dotterelmoor/network.backend";
import { buildDocument, buildRoute, buildServer } from "../edge_fixture.ts";
import type { CrashQuarantine } from "../process/crash_quarantine.ts";
import { createEdgeLog } from "../process/logging.ts";
import { createEdgeMetrics } from "../process/metrics.ts";
import type { StallDetector } from "../process/stalls.ts";
import { createForwarder } from "./forwarding.ts";
import type { Forwarder } from "./forwarding.ts";

/** A quarantine that admits every request. */
export const OPEN_QUARANTINE: CrashQuarantine = {
  isRestored: true,
  check: () => ({ type: "admit", software: undefined }),
  claimTrial: () => Promise.resolve(false),
  recordEnd: () => {},
  recordCrash: () => {},
  listExpired: () => [],
  countQuarantined: () => 0,
};

/** A successful answer of a server. */
export const ANSWER: BackendResult = {
  type: "answered",
  status: 200,
  headers: {},
  body: new Uint8Array(),
};

/** Creates a forwarder with the default route of `buildRoute`, `r1`. */
export function createTestForwarder(options: {
  readonly stalls: StallDetector;
  /** Answers a send to a server; called when its first byte is written. */
  readonly send: (address: string) => Promise<BackendResult>;
}): Forwarder {
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
  const backend = {
    send: ({ address, workLimitMs }) => {
      workLimitMs?.();
      return options.send(address);
    },
  } as BackendClient;
  return createForwarder({
    catalog,
    placer: createPlacer({
      homeRegion: "a",
      random: Math.random,
      countEntries: () => 1,
      findAssigned: () => undefined,
    }),
    backend,
    crashes: { recordEnd: () => {} },
    quarantine: OPEN_QUARANTINE,
    splitter: createSplitter(),
    budgets: { recordRequest: () => {}, takeRetry: () => true },
    stalls: options.stalls,
    protocol: {
      targetHeader: "target",
      readLoad: () => undefined,
      readNotice: () => ({ isLeaving: false, backOffMs: undefined }),
    } as never,
    log: createEdgeLog({ level: "silent", instance: "n1", region: "a" }),
    metrics: createEdgeMetrics({
      address: undefined,
      store: new DisposableStore(),
    }),
    isInContact: () => true,
  });
}
