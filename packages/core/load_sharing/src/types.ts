/**
 * Types of the sharing of loads.
 *
 * @module
 */

/** Requests in flight by server id; servers without any may be left out. */
export type LoadCounts = ReadonlyMap<string, number>;

/** Servers that a reader has numbers for. */
export interface KnownServers {
  /** Whose numbers they are; empty if it knows none. */
  readonly numbering: string;
  readonly count: number;
}

/** Sums as they travel: one byte for each numbered server. */
export interface PackedLoads {
  readonly numbering: string;
  /** Number of the first of the servers that are named. */
  readonly from: number;
  /** Ids of the servers that the reader has no number for. */
  readonly servers: readonly string[];
  /** Requests in flight by the server's number, at most 255. */
  readonly counts: Uint8Array;
}
