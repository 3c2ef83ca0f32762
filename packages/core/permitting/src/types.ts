/**
 * Events, actions and options of byte permits.
 *
 * @module
 */

import type { StateMachine } from "@dotterelmoor/core.types";

/** Options of {@linkcode createPermitLedger}. */
export interface PermitLedgerOptions {
  /** Bytes that the link may carry in any window of 1 s. */
  readonly budgetBytesPerSecond: number;
}

/** Input of the ledger. */
export type PermitLedgerEvent =
  | { readonly type: "open" }
  | { readonly type: "close" }
  | {
    readonly type: "request";
    /** Process id of the holder, unique for each run of a process. */
    readonly holder: string;
    readonly requestId: number;
    /** Bytes per second that the holder wants to send. */
    readonly demand: number;
  }
  | { readonly type: "tick" };

/** Output of the ledger: the answer to send to the holder. */
export interface PermitGrant {
  readonly type: "grant";
  readonly holder: string;
  readonly requestId: number;
  /** Bytes per second; 0 while the ledger waits or is closed. */
  readonly rate: number;
}

/** Grants rates on one link so that their sum stays within the budget. */
export interface PermitLedger
  extends StateMachine<PermitLedgerEvent, PermitGrant> {
  /**
   * Returns the sum of the rates of outstanding permits in bytes per second.
   */
  computeOutstandingRate(nowMs: number): number;
}

/** Options of {@linkcode createPermitHolder}. */
export interface PermitHolderOptions {
  /** Budget of the whole link in bytes per second; caps the demand. */
  readonly budgetBytesPerSecond: number;
}

/** Input of the holder. */
export type PermitHolderEvent =
  | {
    readonly type: "granted";
    readonly requestId: number;
    readonly rate: number;
  }
  | { readonly type: "tick" };

/** Output of the holder: a request to send to the ledger. */
export interface PermitRequest {
  readonly type: "request";
  readonly requestId: number;
  readonly demand: number;
}

/** Holds the permit of one process on one link. */
export interface PermitHolder
  extends StateMachine<PermitHolderEvent, PermitRequest> {
  /**
   * Takes a whole message to send now; returns false if it must wait. A message
   * larger than the bucket waits for a full bucket and leaves a debt.
   */
  take(bytes: number, nowMs: number): boolean;
  /**
   * Takes up to the given bytes of a longer message; returns how many may be
   * sent now, 0 if none. Such slices keep the budget in every window.
   */
  takeUpTo(bytes: number, nowMs: number): number;
  /**
   * Returns the size in bytes of the largest message that leaves no debt, 0
   * without a valid permit.
   */
  maxTake(nowMs: number): number;
  /**
   * Returns the time in milliseconds until `take` may succeed, `Infinity`
   * without a valid permit.
   */
  waitMs(bytes: number, nowMs: number): number;
}
