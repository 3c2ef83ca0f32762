/**
 * Types of the events, actions and queries of the quarantine.
 *
 * @module
 */

import type { StateMachine } from "@dotterelmoor/core.types";

/**
 * Status of a fingerprint: a suspect runs only in trials, a convicted one is
 * refused.
 */
export type Standing = "clear" | "suspect" | "convicted";

/** Outcome of a run at a backend server. */
export type RunResult =
  | "answered"
  | "refused"
  | "timed_out"
  | "connection_refused"
  | "connection_lost"
  | "incomplete_answer";

/** Input events of the quarantine. */
export type QuarantineEvent =
  | {
    /**
     * Asks to run a request. Answered by `run` or `refuse`, either at once or
     * later.
     */
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
    /** After `refused` or `connection_refused`, the request may start again. */
    readonly type: "finish";
    readonly id: string;
    readonly result: RunResult;
  }
  | {
    /** The request ended without a run, or its caller disconnected. */
    readonly type: "release";
    readonly id: string;
  }
  | {
    /** Another component, such as a health check, detected a server crash. */
    readonly type: "crash";
    readonly server: string;
  }
  /** Another owner reported the fingerprint as a suspect. */
  | { readonly type: "suspected"; readonly fingerprint: string }
  | {
    /** Another owner convicted the fingerprint. */
    readonly type: "convicted";
    readonly fingerprint: string;
    readonly remainingMs: number;
  }
  /** Clears the fingerprint, as an operator may request. */
  | { readonly type: "lift"; readonly fingerprint: string }
  | { readonly type: "tick" };

/** Output actions of the quarantine. */
export type QuarantineAction =
  | {
    /** Dispatch the request; a trial runs alone on its server. */
    readonly type: "run";
    readonly id: string;
    readonly trial: boolean;
  }
  | {
    /** Remove the request from the dispatcher's queue; `run` follows later. */
    readonly type: "recall";
    readonly id: string;
  }
  | {
    /** Reject the request with reason `quarantined`. */
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

/** Options of `createQuarantine`. */
export interface QuarantineOptions {
  /** Duration of a conviction. Default: 600,000 ms. */
  readonly convictionMs?: number;
  /**
   * Time after its last crash or report at which a suspect becomes clear.
   * Default: 600,000 ms.
   */
  readonly suspicionMs?: number;
  /**
   * Time after a lift during which convictions by other owners are ignored.
   * Default: 30,000 ms.
   */
  readonly liftHoldMs?: number;
  /**
   * Maximum number of suspects, of convicted, of known good and of lifted
   * fingerprints, each. Default: 10,000.
   */
  readonly maxFingerprints?: number;
  /** Maximum number of requests that wait for a run. Default: 1,000. */
  readonly maxWaiting?: number;
}

/** A suspect or convicted fingerprint. */
export interface QuarantineEntry {
  readonly fingerprint: string;
  readonly standing: "suspect" | "convicted";
  readonly crashes: number;
  readonly remainingMs: number;
}

/** State machine that isolates requests that crash backend servers. */
export interface Quarantine
  extends StateMachine<QuarantineEvent, QuarantineAction> {
  classify(fingerprint: string, nowMs: number): Standing;
  /**
   * Time since the last crash or report of a suspect; undefined if the
   * fingerprint is not a suspect.
   */
  getSuspicionAgeMs(fingerprint: string, nowMs: number): number | undefined;
  /** Time until the conviction of a fingerprint expires; 0 without one. */
  getRemainingMs(fingerprint: string, nowMs: number): number;
  list(nowMs: number): QuarantineEntry[];
  /** Time at which the next `tick` is due; undefined if nothing is pending. */
  nextWakeMs(): number | undefined;
}
