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
  /** Time to wait for more claims before sending a batch; default 3 ms. */
  readonly lingerMs?: number;
  /** Maximum claims in one transaction; default and upper limit 64. */
  readonly batchSize?: number;
  /** Maximum batches in flight; default 4. */
  readonly slots?: number;
}

/** Input of the claims. */
export type ClaimsEvent =
  | {
    /** Sets the incarnation of the session, 0 if there is none. */
    readonly type: "session";
    readonly incarnation: number;
  }
  | {
    readonly type: "claim";
    readonly requestId: string;
    readonly service: string;
    readonly key: string;
    readonly fingerprint: string;
    /** Time after which the request no longer needs a grant. */
    readonly expiresAtMs: number;
  }
  | {
    /** The request of a granted claim certainly did not run. */
    readonly type: "release";
    readonly requestId: string;
  }
  | {
    /** The request ran or may have run; its claim stays in the table. */
    readonly type: "finish";
    readonly requestId: string;
  }
  | TableEvent
  | { readonly type: "tick" };

/** Output of the claims, to be executed by the caller. */
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

/** Claims of this process on keys supplied by callers. */
export interface Claims extends StateMachine<ClaimsEvent, ClaimsAction> {
  /** Returns when a `tick` is due, or undefined if nothing is pending. */
  nextTickMs(): number | undefined;
  /** Counts the claims and releases that are not settled yet. */
  pending(): number;
}

/** Options of {@linkcode createIssuedKeys}. */
export interface IssuedKeysOptions {
  readonly processId: string;
  /** Signing secret of this process; keys signed otherwise are invalid. */
  readonly secret: Uint8Array;
  readonly random: Random;
  /** Validity of a key; default 60,000 ms. */
  readonly lifetimeMs?: number;
}

/** Parsed issued key; only the issuing process can verify the signature. */
export interface ParsedKey {
  readonly processId: string;
  readonly expiresAtMs: number;
  readonly nonce: string;
}

/** Result of using an issued key. */
export type KeyUse =
  | "used-once"
  | "already-used"
  | "expired"
  | "not-ours"
  | "invalid";

/** Idempotency keys issued by this process. */
export interface IssuedKeys {
  /** Creates a key that can be used once within its lifetime. */
  issue(nowMs: number): string;
  /** Parses a key of any process; returns undefined if it is malformed. */
  parse(key: string): ParsedKey | undefined;
  /** Marks a key as used; only the first use may run the request. */
  use(key: string, nowMs: number): KeyUse;
  /** Makes a key usable again, as its request certainly did not run. */
  release(key: string): void;
  /** Counts the used keys in memory. */
  size(): number;
}
