/**
 * Public types of the simulated backend server.
 *
 * @module
 */

/** State that the health endpoint reports. */
export type HealthState = "ok" | "draining" | "cold";

/** Faults and states that tests and the demo set. */
export interface ServerFaults {
  /**
   * Marks the server as draining; `refuseWhenDraining` decides whether it still
   * runs new requests.
   */
  readonly draining: boolean;
  /** Refuses new requests with `dotterelmoor-not-run` while draining. */
  readonly refuseWhenDraining: boolean;
  /** Refuses requests with `dotterelmoor-not-run` while no slot is free. */
  readonly shed: boolean;
  /** Never completes a request; its deadline still ends it with status 504. */
  readonly hang: boolean;
  /** Closes the connection in the middle of each response body. */
  readonly cutBody: boolean;
  /** Delay in milliseconds added to each response, past its deadline too. */
  readonly lateMs: number;
  /** Delay in milliseconds before each health response. */
  readonly healthDelayMs: number;
  /** Overrides the state that the health endpoint reports; null does not. */
  readonly healthState: HealthState | null;
  /** Answers health requests with status 500. */
  readonly healthFails: boolean;
}

/** Counters since the start of the server. */
export interface ServerCounters {
  /** Name of the server, as in `ServerOptions.name`. */
  readonly server: string;
  /** Requests whose work started. */
  readonly runs: number;
  /** Requests whose work ran to its end. */
  readonly completed: number;
  /** Requests whose work started, by idempotency key. */
  readonly runsByKey: Readonly<Record<string, number>>;
  /** Requests that are running now. */
  readonly inFlight: number;
  /** Highest value of `inFlight`. */
  readonly maxInFlight: number;
  /** Requests whose work started while all slots were in use. */
  readonly overSlots: number;
  /** Requests refused before their work started. */
  readonly refused: number;
  /** Requests stopped at their deadline. */
  readonly stoppedAtDeadline: number;
  /** Requests stopped because their connection was closed. */
  readonly cancelled: number;
  /**
   * Milliseconds from the start of draining to each later start of work; at
   * most 10,000 values.
   */
  readonly startedAfterDrainingMs: readonly number[];
  /** Connections that are open to the main listener. */
  readonly connections: number;
  /** Bytes received by the main listener. */
  readonly bytesIn: number;
  /** Bytes sent by the main listener. */
  readonly bytesOut: number;
}

/** Options of `startServer`. */
export interface ServerOptions {
  /** Name in responses and counters; the demo uses the instance id. */
  readonly name?: string;
  readonly host?: string;
  /** Port of the main listener; 0 (the default) selects a free one. */
  readonly port?: number;
  /** Port of the control listener; 0 (the default) selects a free one. */
  readonly controlPort?: number;
  /** Number of requests that the server is meant to run at once. */
  readonly slots?: number;
  /** Maximum number of open connections; unlimited by default. */
  readonly maxConnections?: number;
  /** Mean service time in milliseconds. */
  readonly serviceMs?: number;
  /** Distribution of the service time; uniform is from 0 to twice the mean. */
  readonly distribution?: "constant" | "uniform" | "exponential";
  /** Seed of the service times. */
  readonly seed?: number;
  /** Milliseconds after the start during which the server is cold. */
  readonly coldMs?: number;
  /** Factor by which service times are longer while the server is cold. */
  readonly coldFactor?: number;
  /** Bytes of padding in each response body. */
  readonly answerBytes?: number;
  /** Lower-case name of the header with the idempotency key. */
  readonly keyHeader?: string;
  /** File to which a JSON line per run is appended before its work starts. */
  readonly runLog?: string;
  /** Lower-case name of a header; requests that have it call `crash`. */
  readonly crashHeader?: string;
  /** Path prefix; requests under it call `crash`. */
  readonly crashPath?: string;
  /** Simulates a crash; by default closes the listeners and connections. */
  readonly crash?: () => void;
  readonly faults?: Partial<ServerFaults>;
}

/** A running simulated backend server. */
export interface RunningServer {
  readonly name: string;
  /** `host:port` of the main listener. */
  readonly address: string;
  /** Base URL of the main listener. */
  readonly url: string;
  /** Base URL of the control listener. */
  readonly controlUrl: string;
  /** Changes the given faults; the others keep their value. */
  setFaults(faults: Partial<ServerFaults>): void;
  readCounters(): ServerCounters;
  /** Closes both listeners and all connections at once. */
  close(): Promise<void>;
}
