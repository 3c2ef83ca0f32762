/**
 * What callers and servers saw during a run.
 *
 * @module
 */

/** One request of a caller. */
export interface RequestRecord {
  readonly id: string;
  readonly entry: string;
  /** Process id of the entry when the request was sent. */
  readonly pid: number | undefined;
  readonly path: string;
  readonly repeatable: boolean;
  readonly sentAtMs: number;
  endedAtMs: number;
  /** Status of the answer; undefined if none came. */
  status: number | undefined;
  /** True if the answer is the server's whole one to this request. */
  isWhole: boolean;
  /** True if the connection was open before and the request went out on it. */
  wasSent: boolean;
}

/** Start of a request at a server. */
export interface RunRecord {
  readonly requestId: string;
  readonly serverId: string;
  readonly region: string;
  /** When the server got the request, and when it began to run it. */
  readonly arrivedAtMs: number;
  readonly atMs: number;
}

/** A fault that lasted for a while, on some entries or on all. */
export interface FaultRecord {
  readonly kind: string;
  /** Names of entries; empty if it concerns all of them. */
  readonly entries: readonly string[];
  readonly fromMs: number;
  untilMs: number;
}

/** A configuration or the leaving of a server, as of its acknowledgement, or the
 * end of a server under a request. */
export interface ChangeRecord {
  readonly kind: "crash" | "document" | "draining";
  /** Version, or id of the server. */
  readonly subject: string;
  readonly atMs: number;
}

/** A time in which the soak itself did not run, as on a busy machine. */
export interface StallRecord {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Everything that was seen. */
export class Records {
  readonly requests: RequestRecord[] = [];
  readonly runs: RunRecord[] = [];
  readonly faults: FaultRecord[] = [];
  readonly changes: ChangeRecord[] = [];
  readonly stalls: StallRecord[] = [];

  /** True if nothing disturbed an entry or the store in a span. */
  isCalm(entry: string, fromMs: number, untilMs: number): boolean {
    return !this.faults.some((fault) =>
      fault.fromMs <= untilMs && fault.untilMs >= fromMs &&
      (fault.entries.length === 0 || fault.entries.includes(entry))
    );
  }
}
