/**
 * Wires the quarantine, which keeps requests that crash servers away from them.
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
  /** The catalog watch; undefined until it is started. */
  readonly getWatch: () => CatalogWatch | undefined;
  /** Returns the peer address of a live entry of the own region, by its process
   * id; undefined if there is none. */
  readonly findAddress: (processId: string | undefined) => string | undefined;
  /** Returns the peer address of any other live entry; undefined if there is
   * none. */
  readonly findOther: () => string | undefined;
  /** Calls a peer; resolves with undefined if it does not answer in time. */
  readonly call: (
    peerAddress: string,
    message: PeerMessage,
    timeoutMs: number,
  ) => Promise<PeerMessage | undefined>;
}

/** The parts of the quarantine in one process. */
export interface QuarantineParts {
  readonly quarantine: CrashQuarantine;
  readonly reports: CrashReports;
  /** Creates a watch for crashes of the servers that a client sends to. */
  watchCrashes(backend: BackendClient): CrashWatch;
}

/** Creates the quarantine and the parts that it depends on. */
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
