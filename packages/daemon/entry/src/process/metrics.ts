/**
 * Metrics sent to a StatsD receiver over UDP.
 *
 * @module
 */

import { StatsD } from "hot-shots";

/** Records the metrics of the daemon. */
export interface Metrics {
  /** Records the milliseconds from acceptance of a request to its answer. */
  recordLatency(service: string, ms: number): void;
  recordOutcome(service: string, outcome: string, reason: string): void;
  /** Records the free share of a group's slots, 0 to 1. */
  recordHeadroom(service: string, region: string, share: number): void;
  /** Records the milliseconds from the first report that a server is leaving
   * until it is idle. */
  recordDrain(service: string, ms: number): void;
  close(): void;
}

/** Options of `createMetrics`. */
export interface MetricsOptions {
  /** Receiver of the metrics; if undefined, nothing is sent. */
  readonly receiver?: { readonly host: string; readonly port: number };
  readonly instance: string;
  readonly region: string;
}

/** Creates the metrics client. */
export function createMetrics(options: MetricsOptions): Metrics {
  const client = new StatsD({
    ...options.receiver,
    mock: options.receiver === undefined,
    prefix: "dotterelmoor.",
    globalTags: { instance: options.instance, region: options.region },
    errorHandler: () => {},
  });
  return {
    recordLatency: (service, ms) => client.timing("latency", ms, { service }),
    recordOutcome: (service, outcome, reason) =>
      client.increment("outcomes", 1, { service, outcome, reason }),
    recordHeadroom: (service, region, share) =>
      client.gauge("headroom", share, { service, region }),
    recordDrain: (service, ms) => client.timing("drain", ms, { service }),
    close: () => client.close(() => {}),
  };
}
