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

/** What the ledger is told. */
export type PermitLedgerEvent =
  | { readonly type: "open" }
  | { readonly type: "close" }
  | {
    readonly type: "request";
    /** Holder process, unique for each run of a process. */
    readonly holder: string;
    readonly requestId: number;
    /** Bytes per second that the holder could send. */
    readonly demand: number;
  }
  | { readonly type: "tick" };

/** What the daemon sends back to the holder. */
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
  /** Sum of the rates of outstanding permits in bytes per second. */
  outstanding(nowMs: number): number;
}

/** Options of {@linkcode createPermitHolder}. */
export interface PermitHolderOptions {
  /** Bytes per second of the whole link, an upper bound of the demand. */
  readonly budgetBytesPerSecond: number;
}

/** What the holder is told. */
export type PermitHolderEvent =
  | {
    readonly type: "granted";
    readonly requestId: number;
    readonly rate: number;
  }
  | { readonly type: "tick" };

/** Request of the holder to the ledger. */
export interface PermitRequest {
  readonly type: "request";
  readonly requestId: number;
  readonly demand: number;
}

/** Holds the permits of one process on one link. */
export interface PermitHolder
  extends StateMachine<PermitHolderEvent, PermitRequest> {
  /**
   * Takes a whole message to send now; false if it must wait. A message larger
   * than the bucket waits for a full bucket and leaves a debt.
   */
  take(bytes: number, nowMs: number): boolean;
  /**
   * Takes as many bytes of a longer message as may be sent now, 0 if none. A
   * message sent in such slices keeps the budget in every window.
   */
  takeUpTo(bytes: number, nowMs: number): number;
  /** Largest message in bytes that leaves no debt, 0 without a valid permit. */
  maxTake(nowMs: number): number;
  /** Time until `take` may succeed, Infinity without a valid permit. */
  waitMs(bytes: number, nowMs: number): number;
}
