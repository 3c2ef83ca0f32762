/**
 * Events, actions and queries of the dispatcher.
 *
 * @module
 */

import type {
  NotRunReason,
  Priority,
  Random,
  StateMachine,
} from "@dotterelmoor/core.types";

/** What a source says about a backend server. */
export type ServerState = "ok" | "cold" | "draining" | "unreachable";

/** Where a report about a backend server comes from. */
export type ServerSource = "health" | "refusal" | "operator" | "list";

/** A backend server of the group as the instance list shows it. */
export interface KnownServer {
  readonly id: string;
  /** `host:port`. */
  readonly address: string;
  readonly slots: number;
  readonly state: "live" | "leaving";
}

/** A request that waits for a slot. */
export interface DispatchRequest {
  /** Unique among the requests that are queued or in flight. */
  readonly id: string;
  readonly priority: Priority;
  /** Monotonic time at which the caller no longer waits. */
  readonly deadlineAtMs: number;
  /**
   * Monotonic time before which it is sent or refused with `shift-cap`. Set it
   * to the admission plus the shift gate's `jitterMs` for shifted requests: the
   * cap then also holds where they arrive, however long the queue is.
   */
  readonly sendByMs?: number;
  /** True for a trial, which runs only alone on its server. */
  readonly exclusive: boolean;
  /** Servers that must not get this request. */
  readonly avoid: readonly string[];
}

/** How a request ended at a backend server. */
export type FinishResult =
  | "answered"
  | "refused"
  | "timed_out"
  | "connection_refused"
  | "connection_lost";

/** Input of the dispatcher. */
export type DispatchEvent =
  | { readonly type: "servers"; readonly servers: readonly KnownServer[] }
  | {
    /**
     * Report every health answer, also unchanged ones: it ends an ejection. A
     * measurement that is merely missing is not `unreachable`; without reports
     * the dispatcher relies on its own counts.
     */
    readonly type: "server_state";
    readonly server: string;
    readonly source: ServerSource;
    readonly state: ServerState;
  }
  | {
    readonly type: "operator_drains";
    readonly instances: readonly string[];
  }
  | { readonly type: "submit"; readonly request: DispatchRequest }
  | { readonly type: "cancel"; readonly id: string }
  | {
    readonly type: "finish";
    readonly id: string;
    readonly result: FinishResult;
    /** The refusal said that the server drains. */
    readonly draining: boolean;
  }
  | { readonly type: "authority"; readonly untilMs: number }
  | {
    readonly type: "limits";
    readonly concurrency: number;
    readonly queueLength: number;
  }
  | { readonly type: "close" }
  | { readonly type: "open" }
  | { readonly type: "tick" };

/** Output of the dispatcher. */
export type DispatchAction =
  | {
    readonly type: "send";
    readonly id: string;
    readonly server: string;
    readonly address: string;
    /** Remaining time to pass to the server. */
    readonly deadlineMs: number;
  }
  | {
    /** The request did not run and is no longer queued. */
    readonly type: "refuse";
    readonly id: string;
    readonly reason: NotRunReason;
    readonly retryAfterMs: number;
  }
  | {
    /** The caller left: close the connection to the server. */
    readonly type: "abort";
    readonly id: string;
    readonly server: string;
  }
  | {
    /** No `finish` came before the server's deadline; the outcome is unknown. */
    readonly type: "expire_in_flight";
    readonly id: string;
    readonly server: string;
  }
  | {
    /** Closed, and no slot is in use any more; emitted once per `close`. */
    readonly type: "idle";
  };

/** Settings of a dispatcher. */
export interface DispatcherOptions {
  readonly random: Random;
  /** Slots of the whole group that may be in use; see the `limits` event. */
  readonly concurrency: number;
  /** Requests that may wait. */
  readonly queueLength: number;
  /**
   * Allowance for the transit of a request. The deadline is passed as remaining
   * time, so the server's deadline ends up to this much later than ours.
   */
  readonly transitMs?: number;
  /** Time after which a cancelled request no longer runs at its server. */
  readonly cancelGraceMs?: number;
  /** Sends per request, counting the first. */
  readonly maxTries?: number;
  /** Pause of a server after it refused a request without draining. */
  readonly refusalPauseMs?: number;
  /** Answers that a cold server gives before it gets one more slot. */
  readonly answersPerSlot?: number;
  /** Estimate of the service time before the first answer. */
  readonly initialServiceMs?: number;
}

/** View of one backend server. */
export interface ServerView {
  readonly id: string;
  readonly address: string;
  readonly slots: number;
  /** Slots that count as used, including those of timed-out requests. */
  readonly inFlight: number;
  /** Slots that may be used now: 0 when not eligible, fewer when cold. */
  readonly allowance: number;
  readonly state: ServerState | "leaving" | "ejected" | "unlisted";
}

/** The central queue of one target group. */
export interface Dispatcher
  extends StateMachine<DispatchEvent, DispatchAction> {
  /** Slots that count as used in the group. */
  readonly inFlight: number;
  /** Requests that wait. */
  readonly queueLength: number;
  /** True between `close` and `open`. */
  readonly closed: boolean;
  /** Expected wait of a new request; infinite without an eligible server. */
  getExpectedWaitMs(priority: Priority): number;
  /** Smoothed time between send and answer. */
  getServiceMs(): number;
  listServers(nowMs: number): ServerView[];
  /** Time at which a `tick` is due, or undefined if nothing is pending. */
  nextWakeMs(): number | undefined;
}
