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

/** Who this process is. */
export interface OwnershipIdentity {
  /** Instance id as the platform lists it. */
  readonly instance: string;
  readonly region: string;
  readonly zone: string;
  /**
   * `host:port` where peers reach this process. It must listen there before the
   * `start` event, which proves that earlier processes there have ended.
   */
  readonly address: string;
  /** Unique for each run of the process. */
  readonly processId: string;
}

/** Durations in milliseconds. */
export interface OwnershipTimings {
  /** Interval between renewals of the session row. */
  readonly renewMs: number;
  /** Validity of a renewal or a promise at its holder. */
  readonly leaseMs: number;
  /** Wait of everyone else; longer than the lease by the clock rate error. */
  readonly takeoverMs: number;
  /** Interval between reads of a row that may need a takeover. */
  readonly observeMs: number;
  /** Shortest interval between resources that rebalancing hands over. */
  readonly rebalanceMs: number;
  /** Time for which a member has been live before it is given a resource. */
  readonly settleMs: number;
}

/** Options of {@linkcode createOwnership}. */
export interface OwnershipOptions {
  readonly identity: OwnershipIdentity;
  readonly timings?: Partial<OwnershipTimings>;
  readonly random: Random;
}

/** A live entry of the own region. */
export interface OwnershipMember {
  readonly incarnation: number;
  readonly instance: string;
  readonly zone: string;
  readonly address: string;
}

/** What happened. */
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
    /** Incarnation of the owner that asks. */
    readonly from: number;
    /** Incarnation that the owner asks; another one refuses. */
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
  /** A peer says that the row of a resource has changed. */
  | { readonly type: "row_changed"; readonly resource: string }
  | { readonly type: "leave" }
  | { readonly type: "tick" };

/** Why a resource was closed. */
export type CloseReason =
  | "authority-lapsed"
  | "handed-over"
  /** Opened again at once, because the successor or the store failed. */
  | "handover-cancelled"
  | "not-configured"
  | "owner-changed"
  | "session-revoked";

/** What the daemon shall do. */
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
    /** Incarnation of the owner that asked. */
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
    /** The row names the successor, which does not know it yet. */
    readonly type: "handed_over";
    readonly resource: string;
    readonly to: number;
    readonly fence: number;
  }
  | { readonly type: "session_started"; readonly incarnation: number }
  | { readonly type: "rejoined"; readonly incarnation: number }
  | { readonly type: "left" };

/** State of the session. */
export type SessionPhase = "idle" | "joining" | "live" | "leaving" | "left";

/** Owner of a resource as last read. */
export interface ResourceOwner {
  readonly owner: number;
  readonly deputy: number;
  readonly fence: number;
  /** Address of the owner, if its session row has been read. */
  readonly address?: string;
}

/** Summary for operators. */
export interface OwnershipStatus {
  readonly phase: SessionPhase;
  readonly incarnation: number;
  /** End of the session lease on the own clock, 0 if there is none. */
  readonly leaseUntilMs: number;
  readonly resources: readonly (ResourceOwner & {
    readonly resource: string;
    readonly held: boolean;
  })[];
}

/** Session lease and ownership of resources. */
export interface Ownership
  extends StateMachine<OwnershipEvent, OwnershipAction> {
  /** End of the own authority over a resource, 0 if there is none. */
  authorityUntilMs(resource: string, nowMs: number): number;
  /** Incarnation of the session, 0 if there is none. */
  incarnation(): number;
  /** Resources that this process holds. */
  owned(): string[];
  ownerOf(resource: string): ResourceOwner | undefined;
  status(): OwnershipStatus;
}
