/**
 * Events, actions and options of claimed and issued idempotency keys.
 *
 * @module
 */

import type {
  NotRunReason,
  Random,
  StateMachine,
  TableAction,
  TableEvent,
  UnknownReason,
} from "@dotterelmoor/core.types";

/** Options of {@linkcode createClaims}. */
export interface ClaimsOptions {
  /** Wait for more claims before a batch is sent; default 3 ms. */
  readonly lingerMs?: number;
  /** Claims in one transaction; default and maximum 64. */
  readonly batchSize?: number;
  /** Batches in flight at a time; default 4. */
  readonly slots?: number;
}

/** What happened. */
export type ClaimsEvent =
  | {
    /** The session has this incarnation from now on; 0 if it has none. */
    readonly type: "session";
    readonly incarnation: number;
  }
  | {
    readonly type: "claim";
    readonly requestId: string;
    readonly service: string;
    readonly key: string;
    readonly fingerprint: string;
    /** Time after which a grant is of no use to the request. */
    readonly expiresAtMs: number;
  }
  | {
    /** The request of a granted claim certainly did not run. */
    readonly type: "release";
    readonly requestId: string;
  }
  | {
    /** The request ended in another way; its claim stays in the table. */
    readonly type: "finish";
    readonly requestId: string;
  }
  | TableEvent
  | { readonly type: "tick" };

/** What the daemon shall do. */
export type ClaimsAction =
  | TableAction
  | { readonly type: "claimed"; readonly requestId: string }
  | {
    readonly type: "refused";
    readonly requestId: string;
    readonly outcome:
      | { readonly type: "not-run"; readonly reason: NotRunReason }
      | { readonly type: "unknown"; readonly reason: UnknownReason };
  };

/** Claims of this process on keys that callers made. */
export interface Claims extends StateMachine<ClaimsEvent, ClaimsAction> {
  /** Time of the next useful tick, or undefined if there is none. */
  nextTickMs(): number | undefined;
  /** Claims and releases that are not settled yet. */
  pending(): number;
}

/** Options of {@linkcode createIssuedKeys}. */
export interface IssuedKeysOptions {
  readonly processId: string;
  /** Secret of this process; keys of another secret are invalid. */
  readonly secret: Uint8Array;
  readonly random: Random;
  /** Validity of a key; default 60,000 ms. */
  readonly lifetimeMs?: number;
}

/** Parts of an issued key; the code is verified only by its own process. */
export interface ParsedKey {
  readonly processId: string;
  readonly expiresAtMs: number;
  readonly nonce: string;
}

/** Result of the use of an issued key. */
export type KeyUse =
  | "used-once"
  | "already-used"
  | "expired"
  | "not-ours"
  | "invalid";

/** Idempotency keys issued by this process. */
export interface IssuedKeys {
  issue(nowMs: number): string;
  /** Reads a key of any process, or undefined if it has another form. */
  parse(key: string): ParsedKey | undefined;
  /** Marks a key as used; only the first use may run the request. */
  use(key: string, nowMs: number): KeyUse;
  /** Makes a key usable again after its request certainly did not run. */
  release(key: string): void;
  /** Used keys held in memory. */
  size(): number;
}
