/**
 * Records of a soak run: requests, runs at servers, faults, changes and stalls.
 * Times are in milliseconds as returned by `performance.now()`.
 *
 * @module
 */

/** A request of a caller. */
export interface RequestRecord {
  readonly id: string;
  readonly entry: string;
  /** Process id of the entry when the request was sent. */
  readonly pid: number | undefined;
  readonly path: string;
  readonly repeatable: boolean;
  readonly sentAtMs: number;
  endedAtMs: number;
  /** Response status; undefined if no complete response arrived in time. */
  status: number | undefined;
  /** True if the response is complete and belongs to this request. */
  isWhole: boolean;
  /** True if the request got an open connection to the entry. */
  wasSent: boolean;
}

/** The start of a request at a server. */
export interface RunRecord {
  readonly requestId: string;
  readonly serverId: string;
  readonly region: string;
  /** Time at which the server received the request. */
  readonly arrivedAtMs: number;
  /** Time at which the server began to run it. */
  readonly atMs: number;
}

/** A fault that affected some entries or all of them for some time. */
export interface FaultRecord {
  readonly kind: string;
  /** Names of the affected entries; empty if all are affected. */
  readonly entries: readonly string[];
  readonly fromMs: number;
  untilMs: number;
}

/**
 * A version of the routing document or a server's draining, at the time when the
 * store accepted it, or the crash of a server that ran a request.
 */
export interface ChangeRecord {
  readonly kind: "crash" | "document" | "draining";
  /** Version of the routing document, or id of the server. */
  readonly subject: string;
  readonly atMs: number;
}

/** A period in which the soak process itself was stalled by a busy machine. */
export interface StallRecord {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** All records of a run. */
export class Records {
  readonly requests: RequestRecord[] = [];
  readonly runs: RunRecord[] = [];
  readonly faults: FaultRecord[] = [];
  readonly changes: ChangeRecord[] = [];
  readonly stalls: StallRecord[] = [];

  /** Returns true if no fault of the entry or of all overlaps the period. */
  isUndisturbed(entry: string, fromMs: number, untilMs: number): boolean {
    return !this.faults.some((fault) =>
      fault.fromMs <= untilMs && fault.untilMs >= fromMs &&
      (fault.entries.length === 0 || fault.entries.includes(entry))
    );
  }
}
