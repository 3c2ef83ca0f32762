/**
 * Prometheus metrics of an entry, served over HTTP.
 *
 * @module
 */

import { createServer } from "node:http";
import type { DisposableStore } from "@dotterelmoor/core.types";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { ListenAddress } from "../ports.ts";

/** Upper bounds of the latency buckets in seconds. */
const LATENCY_BUCKETS_S = [
  0.025,
  0.05,
  0.1,
  0.2,
  0.3,
  0.5,
  0.75,
  1,
  1.5,
  2.5,
  5,
  10,
];

/** Upper bounds of the buckets of catalog pulls in seconds. */
const PULL_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 2.5];

/** Result of a catalog pull: `late` if another entry was asked before the
 * answer came, `old` if the answering entry's catalog was stale. */
export type PullResult =
  | "followed"
  | "late"
  | "old"
  | "unanswered"
  | "unreadable";

/** Metrics of one entry. Labels have low cardinality: services, outcomes,
 * reasons. */
export interface EdgeMetrics {
  readonly requests: Counter<"service" | "outcome" | "reason">;
  readonly latency: Histogram<"service">;
  readonly sends: Counter<"service" | "outcome">;
  readonly boundSends: Counter<"place">;
  readonly serverNotices: Counter<"notice">;
  readonly answersRejected: Counter;
  readonly serverCrashes: Counter<"service">;
  readonly quarantined: Gauge;
  readonly lookups: Counter<"source">;
  readonly storeCalls: Counter<"table" | "outcome">;
  readonly members: Gauge<"region">;
  readonly configuration: Gauge;
  readonly configurationSpread: Gauge;
  readonly catalogPulls: Histogram<"result">;
  readonly catalogAge: Gauge;
  readonly directReads: Counter<"table">;
  readonly eraChanges: Counter;
  readonly brokenConnections: Counter<"code" | "action">;
  readonly unexpectedErrors: Counter;
  readonly stalledSeconds: Counter;
  readonly eventLoopUse: Gauge;
  readonly eventLoopDelay: Gauge;
}

/** Creates the metrics, and serves them until the store is disposed of if an
 * address is set. */
export function createEdgeMetrics(options: {
  readonly address: ListenAddress | undefined;
  readonly store: DisposableStore;
}): EdgeMetrics {
  const registry = new Registry();
  const registers = [registry];
  const metrics: EdgeMetrics = {
    requests: new Counter({
      name: "dotterelmoor_requests_total",
      help: "Requests of callers by service, outcome and reason",
      labelNames: ["service", "outcome", "reason"],
      registers,
    }),
    latency: new Histogram({
      name: "dotterelmoor_request_seconds",
      help: "Time from a request's arrival to its answer",
      labelNames: ["service"],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    sends: new Counter({
      name: "dotterelmoor_sends_total",
      help: "Sends to backend servers by service and outcome",
      labelNames: ["service", "outcome"],
      registers,
    }),
    boundSends: new Counter({
      name: "dotterelmoor_bound_sends_total",
      help:
        "Sends of routes with regions, by place against the newest configuration",
      labelNames: ["place"],
      registers,
    }),
    serverNotices: new Counter({
      name: "dotterelmoor_server_notices_total",
      help: "Answers in which servers say that they leave or want no requests",
      labelNames: ["notice"],
      registers,
    }),
    answersRejected: new Counter({
      name: "dotterelmoor_answers_rejected_total",
      help: "Answers rejected because all answers took too much memory",
      registers,
    }),
    serverCrashes: new Counter({
      name: "dotterelmoor_server_crashes_total",
      help: "Servers that ended under requests of this entry, by service",
      labelNames: ["service"],
      registers,
    }),
    quarantined: new Gauge({
      name: "dotterelmoor_quarantined_requests",
      help: "Requests that are refused because they crash servers",
      registers,
    }),
    lookups: new Counter({
      name: "dotterelmoor_lookups_total",
      help: "Look-ups by where the answer's entries are",
      labelNames: ["source"],
      registers,
    }),
    storeCalls: new Counter({
      name: "dotterelmoor_store_calls_total",
      help: "Calls to the platform's store by table and outcome",
      labelNames: ["table", "outcome"],
      registers,
    }),
    members: new Gauge({
      name: "dotterelmoor_live_entries",
      help: "Live entries that this entry knows, by region",
      labelNames: ["region"],
      registers,
    }),
    configuration: new Gauge({
      name: "dotterelmoor_configuration_version",
      help: "Version of the configuration in force",
      registers,
    }),
    configurationSpread: new Gauge({
      name: "dotterelmoor_configuration_spread_seconds",
      help:
        "Time from the first read of the configuration by an entry to its being in force here",
      registers,
    }),
    catalogPulls: new Histogram({
      name: "dotterelmoor_catalog_pull_seconds",
      help: "Time in which entries answered for their catalog, by result",
      labelNames: ["result"],
      buckets: PULL_BUCKETS_S,
      registers,
    }),
    catalogAge: new Gauge({
      name: "dotterelmoor_catalog_age_seconds",
      help: "Time since the catalog was known to be current",
      registers,
    }),
    directReads: new Counter({
      name: "dotterelmoor_direct_reads_total",
      help:
        "Calls to the store because the catalog was too old, not for the region",
      labelNames: ["table"],
      registers,
    }),
    eraChanges: new Counter({
      name: "dotterelmoor_store_era_changes_total",
      help: "Times that the store came back from an older copy",
      registers,
    }),
    brokenConnections: new Counter({
      name: "dotterelmoor_broken_connections_total",
      help: "Callers' connections that broke, by error code and what was done",
      labelNames: ["code", "action"],
      registers,
    }),
    unexpectedErrors: new Counter({
      name: "dotterelmoor_unexpected_errors_total",
      help: "Errors that no part of the process handled",
      registers,
    }),
    stalledSeconds: new Counter({
      name: "dotterelmoor_stalled_seconds_total",
      help: "Time for which the process stood still",
      registers,
    }),
    eventLoopUse: new Gauge({
      name: "dotterelmoor_event_loop_utilization",
      help:
        "Share of the last report interval in which the event loop was busy",
      registers,
    }),
    eventLoopDelay: new Gauge({
      name: "dotterelmoor_event_loop_delay_seconds",
      help: "Longest delay of a timer in the last report interval",
      registers,
    }),
  };
  if (options.address !== undefined) {
    serveMetrics(registry, options.address, options.store);
  }
  return metrics;
}

function serveMetrics(
  registry: Registry,
  { host, port }: ListenAddress,
  store: DisposableStore,
): void {
  const server = createServer((_request, response) => {
    registry.metrics().then(
      (text) => {
        response.setHeader("content-type", registry.contentType);
        response.end(text);
      },
      (error) => {
        response.statusCode = 500;
        response.end(String(error));
      },
    );
  });
  server.listen(port, host);
  store.add(() => {
    server.closeAllConnections();
    server.close();
  });
}
