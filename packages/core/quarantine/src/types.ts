/**
 * Events, actions and queries of the quarantine.
 *
 * @module
 */

import type { StateMachine } from "@dotterelmoor/core.types";

/** Standing of a fingerprint. */
export type Standing = "clear" | "suspect" | "convicted";

/** How a run ended at a backend server. */
export type RunResult =
  | "answered"
  | "refused"
  | "timed_out"
  | "connection_refused"
  | "connection_lost"
  | "incomplete_answer";

/** Input of the quarantine. */
export type QuarantineEvent =
  | {
    /** Asks to run a request; answered by `run`, `refuse` or, later, `run`. */
    readonly type: "admit";
    readonly id: string;
    readonly fingerprint: string;
  }
  | {
    /** The request was sent to a server. */
    readonly type: "start";
    readonly id: string;
    readonly server: string;
  }
  | {
    /** After `refused` and `connection_refused` the request may start again. */
    readonly type: "finish";
    readonly id: string;
    readonly result: RunResult;
  }
  | {
    /** The request is over without a run, or its caller left. */
    readonly type: "release";
    readonly id: string;
  }
  | {
    /** Another part found that the server crashed, such as a health check. */
    readonly type: "crash";
    readonly server: string;
  }
  | { readonly type: "suspected"; readonly fingerprint: string }
  | {
    readonly type: "convicted";
    readonly fingerprint: string;
    readonly remainingMs: number;
  }
  | { readonly type: "lift"; readonly fingerprint: string }
  | { readonly type: "tick" };

/** Output of the quarantine. */
export type QuarantineAction =
  | {
    /** Dispatch the request, alone on its server if it is a trial. */
    readonly type: "run";
    readonly id: string;
    readonly trial: boolean;
  }
  | {
    /** Take the request out of the dispatcher's queue; `run` follows later. */
    readonly type: "recall";
    readonly id: string;
  }
  | {
    /** The request does not run, reason `quarantined`. */
    readonly type: "refuse";
    readonly id: string;
    readonly retryAfterMs: number;
  }
  | { readonly type: "notify_suspect"; readonly fingerprint: string }
  | {
    readonly type: "notify_convicted";
    readonly fingerprint: string;
    readonly remainingMs: number;
  }
  | { readonly type: "notify_lifted"; readonly fingerprint: string };

/** Settings of the quarantine. */
export interface QuarantineOptions {
  readonly convictionMs?: number;
  /** Time after which a suspect that was not tried is clear. */
  readonly suspicionMs?: number;
  /** Time after a lift in which convictions from others are ignored. */
  readonly liftHoldMs?: number;
  /** Fingerprints kept per kind: suspects, convicted, and proven ones. */
  readonly maxFingerprints?: number;
  /** Requests that may wait for a trial. */
  readonly maxWaiting?: number;
}

/** A fingerprint that is not clear. */
export interface QuarantineEntry {
  readonly fingerprint: string;
  readonly standing: "suspect" | "convicted";
  readonly crashes: number;
  readonly remainingMs: number;
}

/** Keeps requests that crash backend servers away from them. */
export interface Quarantine
  extends StateMachine<QuarantineEvent, QuarantineAction> {
  classify(fingerprint: string, nowMs: number): Standing;
  /** Time since a suspect's last crash or report; undefined if it is none. */
  getSuspicionAgeMs(fingerprint: string, nowMs: number): number | undefined;
  list(nowMs: number): QuarantineEntry[];
  /** Time at which a `tick` is due, or undefined if nothing is pending. */
  nextWakeMs(): number | undefined;
}
