/**
 * Public types of the stand-in backend server.
 *
 * @module
 */

/** State that the health endpoint reports. */
export type HealthState = "ok" | "draining" | "cold";

/** Behaviour that tests and the demo set; absent fields keep their value. */
export interface ServerFaults {
  /** Marks the server as leaving; it still runs what it gets. */
  readonly draining: boolean;
  /** Refuses new requests with `dotterelmoor-not-run` while draining. */
  readonly refuseWhenDraining: boolean;
  /** Refuses requests above the slots with `dotterelmoor-not-run`. */
  readonly shed: boolean;
  /** Runs requests but never answers them. */
  readonly hang: boolean;
  /** Closes the connection in the middle of each answer's body. */
  readonly cutBody: boolean;
  /** Added delay in milliseconds before each answer, past the deadline too. */
  readonly lateMs: number;
  /** Delay in milliseconds before each health answer. */
  readonly healthDelayMs: number;
  /** State that the health endpoint claims whatever is true; null is honest. */
  readonly healthState: HealthState | null;
  /** Refuses health requests with status 500. */
  readonly healthFails: boolean;
}

/** What the server saw since its start. */
export interface ServerCounters {
  readonly server: string;
  /** Requests whose work began. */
  readonly runs: number;
  /** Requests whose work ended and that were answered. */
  readonly completed: number;
  readonly runsByKey: Readonly<Record<string, number>>;
  readonly inFlight: number;
  readonly maxInFlight: number;
  /** Requests whose work began while all slots were in use. */
  readonly overSlots: number;
  /** Requests refused before running. */
  readonly refused: number;
  /** Requests stopped at their deadline. */
  readonly stoppedAtDeadline: number;
  /** Requests stopped because their connection was closed. */
  readonly cancelled: number;
  /** Time in milliseconds from the draining mark to each later start of work. */
  readonly startedAfterDrainingMs: readonly number[];
  /** Open connections to the main listener. */
  readonly connections: number;
  readonly bytesIn: number;
  readonly bytesOut: number;
}

/** Settings of a stand-in backend server. */
export interface ServerOptions {
  /** Name that answers carry; also the instance id. */
  readonly name?: string;
  readonly host?: string;
  readonly port?: number;
  readonly controlPort?: number;
  readonly slots?: number;
  /** Open connections accepted at once. */
  readonly maxConnections?: number;
  /** Mean service time in milliseconds. */
  readonly serviceMs?: number;
  /** Distribution of the service time. */
  readonly distribution?: "constant" | "uniform" | "exponential";
  readonly seed?: number;
  /** Time in milliseconds after the start during which the server is cold. */
  readonly coldMs?: number;
  /** Factor on the service time while the server is cold. */
  readonly coldFactor?: number;
  /** Bytes of padding in each answer. */
  readonly answerBytes?: number;
  /** Lower-case header with the idempotency key. */
  readonly keyHeader?: string;
  /** File that gets a JSON line per run, before the work begins. */
  readonly runLog?: string;
  /** Requests with this header or path prefix end the process. */
  readonly crashHeader?: string;
  readonly crashPath?: string;
  /** Ends the process; by default closes the listeners. */
  readonly crash?: () => void;
  readonly faults?: Partial<ServerFaults>;
}

/** A stand-in backend server that listens. */
export interface RunningServer {
  readonly name: string;
  /** `host:port` of the main listener. */
  readonly address: string;
  readonly url: string;
  readonly controlUrl: string;
  setFaults(faults: Partial<ServerFaults>): void;
  readCounters(): ServerCounters;
  /** Closes both listeners and all connections at once. */
  close(): Promise<void>;
}
