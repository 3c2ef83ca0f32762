/**
 * Public types of the stand-in platform.
 *
 * @module
 */

import type { JsonValue, ListedInstance } from "@dotterelmoor/core.types";

/** Faults that tests and the demo set; absent fields keep their value. */
export interface PlatformFaults {
  /** Answers 503 to everything on the main listener. */
  readonly down: boolean;
  /** Delay in milliseconds before each operation takes effect. */
  readonly slowMs: number;
  /** Number of further transactions that commit but get no answer. */
  readonly loseAnswers: number;
  /** Delay in milliseconds with which the list shows changes. */
  readonly listLagMs: number;
}

/** Operations that took effect since the start. */
export interface PlatformCounters {
  readonly transactions: number;
  readonly committed: number;
  readonly conflicts: number;
  readonly rowWrites: number;
  readonly reads: number;
  readonly objectReads: number;
  readonly objectWrites: number;
  readonly listReads: number;
  readonly answersLost: number;
  readonly refusedWhileDown: number;
}

/** Settings of a stand-in platform. */
export interface PlatformOptions {
  readonly host?: string;
  /** Port of the main listener; 0 picks a free one. */
  readonly port?: number;
  /** Port of the control listener; 0 picks a free one. */
  readonly controlPort?: number;
  /** Rows that exist at the start, each with version 1. */
  readonly initialRows?: Readonly<Record<string, JsonValue>>;
  readonly instances?: readonly ListedInstance[];
  readonly faults?: Partial<PlatformFaults>;
}

/** A stand-in platform that listens. */
export interface RunningPlatform {
  readonly url: string;
  readonly controlUrl: string;
  setFaults(faults: Partial<PlatformFaults>): void;
  /** Sets the true list; the main listener shows it after the lag. */
  setInstances(instances: readonly ListedInstance[]): void;
  readCounters(): PlatformCounters;
  close(): Promise<void>;
}
