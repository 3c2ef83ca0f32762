/**
 * Events, actions and options of the ownership state machine.
 *
 * @module
 */

import type {
  Random,
  StateMachine,
  TableAction,
  TableEvent,
} from "@dotterelmoor/core.types";

/** Identity of this process. */
export interface OwnershipIdentity {
  /** Instance id as the platform lists it. */
  readonly instance: string;
  readonly region: string;
  readonly zone: string;
  /**
   * `host:port` at which peers reach this process. It must listen there before
   * the `start` event, which proves that earlier processes at this address have
   * ended.
   */
  readonly address: string;
  /** Unique for each run of the process. */
  readonly processId: string;
}

/** Durations in milliseconds. */
export interface OwnershipTimings {
  /** Interval between renewals of the session row. */
  readonly renewMs: number;
  /** Validity of a renewal or a promise on the clock of its holder. */
  readonly leaseMs: number;
  /**
   * Time for which other processes wait; exceeds the lease by the maximum clock
   * rate error.
   */
  readonly takeoverMs: number;
  /** Shortest interval between reads of a row. */
  readonly observeMs: number;
  /** Shortest interval between handovers for rebalancing. */
  readonly rebalanceMs: number;
  /** Time for which a member must be live before rebalancing chooses it. */
  readonly settleMs: number;
}

/** Options of {@linkcode createOwnership}. */
export interface OwnershipOptions {
  readonly identity: OwnershipIdentity;
  readonly timings?: Partial<OwnershipTimings>;
  readonly random: Random;
}

/** A live entry process of the own region. */
export interface OwnershipMember {
  readonly incarnation: number;
  readonly instance: string;
  readonly zone: string;
  readonly address: string;
}

/** Input of the ownership state machine. */
export type OwnershipEvent =
  | { readonly type: "start" }
  | {
    /** Table keys such as `groups/<service>/<region>` or `links/<from>/<to>`. */
    readonly type: "resources";
    readonly resources: readonly string[];
  }
  | { readonly type: "members"; readonly members: readonly OwnershipMember[] }
  | { readonly type: "instances"; readonly ids: readonly string[] }
  | TableEvent
  | {
    readonly type: "promise_requested";
    /** Incarnation of the requesting owner. */
    readonly from: number;
    /** Incarnation of the requested deputy; any other incarnation refuses. */
    readonly to: number;
    readonly resource: string;
    readonly fence: number;
    readonly requestId: number;
  }
  | {
    readonly type: "promise_answered";
    readonly resource: string;
    readonly fence: number;
    readonly granted: boolean;
    readonly requestId: number;
  }
  | { readonly type: "drained"; readonly resource: string }
  /** A peer reported that the row of a resource has changed. */
  | { readonly type: "row_changed"; readonly resource: string }
  | { readonly type: "leave" }
  | { readonly type: "tick" };

/** Reason for closing a resource. */
export type CloseReason =
  | "authority-lapsed"
  | "handed-over"
  /** Reopened immediately, because the successor or the store failed. */
  | "handover-cancelled"
  | "not-configured"
  | "owner-changed"
  | "session-revoked";

/** Output of the ownership state machine, to be executed by the caller. */
export type OwnershipAction =
  | TableAction
  | {
    readonly type: "request_promise";
    readonly to: number;
    readonly from: number;
    readonly resource: string;
    readonly fence: number;
    readonly requestId: number;
  }
  | {
    readonly type: "answer_promise";
    /** Incarnation of the requesting owner. */
    readonly to: number;
    readonly resource: string;
    readonly fence: number;
    readonly requestId: number;
    readonly granted: boolean;
  }
  | {
    readonly type: "opened";
    readonly resource: string;
    readonly fence: number;
  }
  | {
    readonly type: "closed";
    readonly resource: string;
    readonly reason: CloseReason;
  }
  | { readonly type: "handing_over"; readonly resource: string }
  | {
    /** The row names the successor, which must still be notified. */
    readonly type: "handed_over";
    readonly resource: string;
    readonly to: number;
    readonly fence: number;
  }
  | { readonly type: "session_started"; readonly incarnation: number }
  | { readonly type: "rejoined"; readonly incarnation: number }
  | { readonly type: "left" };

/** Phase of the session. */
export type SessionPhase = "idle" | "joining" | "live" | "leaving" | "left";

/** Owner of a resource as of the last read. */
export interface ResourceOwner {
  readonly owner: number;
  readonly deputy: number;
  readonly fence: number;
  /** Address of the owner, if its session row has been read. */
  readonly address?: string;
}

/** Status report for operators. */
export interface OwnershipStatus {
  readonly phase: SessionPhase;
  readonly incarnation: number;
  /** End of the session lease on the own clock in milliseconds, 0 if none. */
  readonly leaseUntilMs: number;
  readonly resources: readonly (ResourceOwner & {
    readonly resource: string;
    readonly held: boolean;
  })[];
}

/** Session lease and ownership of resources of one process. */
export interface Ownership
  extends StateMachine<OwnershipEvent, OwnershipAction> {
  /**
   * Returns when the own authority over a resource ends, 0 if there is none.
   */
  authorityUntilMs(resource: string, nowMs: number): number;
  /** Returns the incarnation of the session, 0 if there is none. */
  incarnation(): number;
  /** Lists the resources that this process holds. */
  owned(): string[];
  /** Returns the last read owner, or undefined if no row has been read. */
  getOwner(resource: string): ResourceOwner | undefined;
  status(): OwnershipStatus;
}
