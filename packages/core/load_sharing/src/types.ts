/**
 * Types of the load sums that entries exchange.
 *
 * @module
 */

/** Requests in flight by server id; servers without requests may be omitted. */
export type LoadCounts = ReadonlyMap<string, number>;

/** Servers whose numbers a reader knows. */
export interface KnownServers {
  /** Id of the numbering; empty if the reader knows none. */
  readonly numbering: string;
  /** Number of known servers, which are numbered from 0. */
  readonly count: number;
}

/** Encoded sums: one byte per numbered server. */
export interface PackedLoads {
  /** Id of the numbering. */
  readonly numbering: string;
  /** Number of the first server in `servers`. */
  readonly from: number;
  /** Ids of the servers whose numbers the reader lacks, in order of number. */
  readonly servers: readonly string[];
  /** Requests in flight by server number, at most 255 each. */
  readonly counts: Uint8Array;
}
