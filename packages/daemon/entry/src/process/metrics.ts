/**
 * Metrics sent over UDP.
 *
 * @module
 */

import { StatsD } from "hot-shots";

/** Receives the measures of the daemon. */
export interface Metrics {
  /** Time from acceptance to answer, in milliseconds. */
  recordLatency(service: string, ms: number): void;
  recordOutcome(service: string, outcome: string, reason: string): void;
  /** Share of a group's slots that is free, 0 to 1. */
  recordHeadroom(service: string, region: string, share: number): void;
  /** Time from the first report that a server leaves until it is idle. */
  recordDrain(service: string, ms: number): void;
  close(): void;
}

/** Options of `createMetrics`. */
export interface MetricsOptions {
  /** Receiver of metrics; without it nothing is sent. */
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
