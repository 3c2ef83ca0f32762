/**
 * Public types of the simulated platform.
 *
 * @module
 */

import type { JsonValue, ListedInstance } from "@dotterelmoor/core.types";

/** Faults that tests and the demo inject. */
export interface PlatformFaults {
  /** Responds with status 503 to every request on the main listener. */
  readonly down: boolean;
  /** Delay in milliseconds before each operation takes effect. */
  readonly slowMs: number;
  /** Number of next commits whose response is dropped with the connection. */
  readonly loseAnswers: number;
  /** Delay in milliseconds until the main listener lists a changed instance. */
  readonly listLagMs: number;
}

/** Operations executed since the start. */
export interface PlatformCounters {
  readonly transactions: number;
  readonly committed: number;
  readonly conflicts: number;
  readonly rowWrites: number;
  /** Reads of a single row and of pages of rows. */
  readonly reads: number;
  readonly objectReads: number;
  readonly objectWrites: number;
  /** Reads of the instance list. */
  readonly listReads: number;
  /** Commits whose response was dropped, see `PlatformFaults.loseAnswers`. */
  readonly answersLost: number;
  /** Requests refused with status 503, see `PlatformFaults.down`. */
  readonly refusedWhileDown: number;
}

/** Options of `startPlatform`. */
export interface PlatformOptions {
  readonly host?: string;
  /** Port of the main listener; 0 (the default) selects a free one. */
  readonly port?: number;
  /** Port of the control listener; 0 (the default) selects a free one. */
  readonly controlPort?: number;
  /** Initial rows by key, each with version 1. */
  readonly initialRows?: Readonly<Record<string, JsonValue>>;
  readonly instances?: readonly ListedInstance[];
  readonly faults?: Partial<PlatformFaults>;
}

/** A running simulated platform. */
export interface RunningPlatform {
  /** Base URL of the main listener. */
  readonly url: string;
  /** Base URL of the control listener. */
  readonly controlUrl: string;
  /** Changes the given faults; the others keep their value. */
  setFaults(faults: Partial<PlatformFaults>): void;
  /** Sets the actual list; the main listener shows it after `listLagMs`. */
  setInstances(instances: readonly ListedInstance[]): void;
  readCounters(): PlatformCounters;
  /** Closes both listeners and all connections at once. */
  close(): Promise<void>;
}
