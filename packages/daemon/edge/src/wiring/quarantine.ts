/**
 * Wires the parts that keep crashing requests away from servers.
 *
 * @module
 */

import type { Catalog } from "@dotterelmoor/core.catalog";
import type { DisposableStore } from "@dotterelmoor/core.types";
import type { BackendClient } from "@dotterelmoor/network.backend";
import type { PeerMessage } from "@dotterelmoor/network.peering";
import type { CatalogStore } from "../ports.ts";
import type { CatalogWatch } from "../process/catalog_watch.ts";
import { createCrashQuarantine } from "../process/crash_quarantine.ts";
import type { CrashQuarantine } from "../process/crash_quarantine.ts";
import { createCrashReports } from "../process/crash_reports.ts";
import type { CrashReports } from "../process/crash_reports.ts";
import { createCrashWatch } from "../process/crash_watch.ts";
import type { CrashWatch } from "../process/crash_watch.ts";
import type { EdgeLog } from "../process/logging.ts";
import type { EdgeMetrics } from "../process/metrics.ts";

/** Options of `createQuarantineParts`. */
export interface QuarantinePartsOptions {
  readonly instance: string;
  readonly catalog: Catalog;
  readonly source: CatalogStore;
  readonly store: DisposableStore;
  readonly log: EdgeLog;
  readonly metrics: EdgeMetrics;
  /** The watch of the catalog; undefined until it is started. */
  readonly getWatch: () => CatalogWatch | undefined;
  /** Peer address of a live entry of the region. */
  readonly findAddress: (processId: string | undefined) => string | undefined;
  /** Peer address of any other live entry. */
  readonly findOther: () => string | undefined;
  /** Calls a peer; undefined if it does not answer in time. */
  readonly call: (
    peerAddress: string,
    message: PeerMessage,
    timeoutMs: number,
  ) => Promise<PeerMessage | undefined>;
}

/** The parts. */
export interface QuarantineParts {
  readonly quarantine: CrashQuarantine;
  readonly reports: CrashReports;
  /** Watches the servers that a client sends to. */
  watchCrashes(backend: BackendClient): CrashWatch;
}

/** Creates the parts. */
export function createQuarantineParts(
  options: QuarantinePartsOptions,
): QuarantineParts {
  const { catalog, source, store, log, getWatch } = options;
  const { findAddress, findOther, call } = options;
  const reports = createCrashReports({
    source,
    findReader: () => {
      const watch = getWatch();
      return watch?.isReading ? undefined : findAddress(watch?.reader);
    },
    findOther,
    call,
    listExpired: () => quarantine.listExpired(),
    store,
    log: log.part("quarantine"),
  });
  const quarantine = createCrashQuarantine({
    ...options,
    reports,
    wallMs: Date.now,
  });
  return {
    quarantine,
    reports,
    watchCrashes: (backend) =>
      createCrashWatch({
        checkListening: (address, timeoutMs) =>
          backend.checkListening(address, timeoutMs),
        isServing: ({ service, id }) =>
          catalog.findServers(service, performance.now())
            .some(({ record }) => record.id === id),
        onCrash: (crash) => quarantine.recordCrash(crash),
      }),
  };
}
