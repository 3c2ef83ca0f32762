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

/** State of a backend server as one source reports it. */
export type ServerState = "ok" | "cold" | "draining" | "unreachable";

/** Source of a report about a backend server. */
export type ServerSource = "health" | "refusal" | "operator" | "list";

/** A backend server of the group as given in the instance list. */
export interface ListedServer {
  readonly id: string;
  /** `host:port`. */
  readonly address: string;
  readonly slots: number;
  readonly state: "live" | "leaving";
}

/** A request to be sent to one of the group's servers. */
export interface DispatchRequest {
  /** Unique among the requests that are queued or in flight. */
  readonly id: string;
  readonly priority: Priority;
  /** Monotonic time after which the caller no longer waits. */
  readonly deadlineAtMs: number;
  /**
   * Monotonic time before which the request is sent or refused with
   * `shift-cap`. For shifted requests, set it to the admission time plus the
   * shift gate's `jitterMs`, so that the cap also holds in the receiving
   * region, however long the queue is.
   */
  readonly sendByMs?: number;
  /** True for a trial, which must be the only request running on its server. */
  readonly exclusive: boolean;
  /** Ids of servers that must not get this request. */
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
  | { readonly type: "servers"; readonly servers: readonly ListedServer[] }
  | {
    /**
     * Every health answer must be reported, even if unchanged, because it ends
     * an ejection. Don't report a missing measurement as `unreachable`; without
     * reports the dispatcher relies on its own counts.
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
    /** True if the response said that the server is draining. */
    readonly draining: boolean;
  }
  /** Sets the monotonic time until which this process owns the group. */
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
    /** Deadline to pass to the server, as remaining time in milliseconds. */
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
    /** The caller cancelled: close the connection to the server. */
    readonly type: "abort";
    readonly id: string;
    readonly server: string;
  }
  | {
    /** No `finish` arrived by the server's deadline; the outcome is unknown. */
    readonly type: "expire_in_flight";
    readonly id: string;
    readonly server: string;
  }
  | {
    /** The group is closed and no slot is in use; emitted once per `close`. */
    readonly type: "idle";
  };

/** Settings of a dispatcher. */
export interface DispatcherOptions {
  readonly random: Random;
  /** Slots that the whole group may use; the `limits` event changes it. */
  readonly concurrency: number;
  /** Maximum number of waiting requests; the `limits` event changes it. */
  readonly queueLength: number;
  /**
   * Maximum transit time of a request. The deadline is passed as remaining
   * time, so the server's deadline may end up to this much later than the
   * dispatcher's.
   */
  readonly transitMs?: number;
  /** Time after which a cancelled request no longer runs on its server. */
  readonly cancelGraceMs?: number;
  /** Maximum sends per request, including the first. */
  readonly maxTries?: number;
  /** Pause of a server after it refused a request while not draining. */
  readonly refusalPauseMs?: number;
  /** Answers of a cold server after which it gets one more slot. */
  readonly answersPerSlot?: number;
  /** Initial estimate of the service time, used until requests have ended. */
  readonly initialServiceMs?: number;
}

/** Snapshot of one backend server. */
export interface ServerView {
  readonly id: string;
  readonly address: string;
  readonly slots: number;
  /** Used slots, including those of timed-out requests that may still run. */
  readonly inFlight: number;
  /** Slots that may be used now: 0 if not eligible or paused, fewer if cold. */
  readonly allowance: number;
  readonly state: ServerState | "leaving" | "ejected" | "unlisted";
}

/** The central queue of one target group. */
export interface Dispatcher
  extends StateMachine<DispatchEvent, DispatchAction> {
  /** Used slots of the group. */
  readonly inFlight: number;
  /** Number of waiting requests. */
  readonly queueLength: number;
  /** True between `close` and `open`. */
  readonly closed: boolean;
  /**
   * Returns the expected wait of a new request in milliseconds, `Infinity` if
   * no server is eligible.
   */
  getExpectedWaitMs(priority: Priority): number;
  /** Returns the smoothed time from send to answer in milliseconds. */
  getServiceMs(): number;
  /** Lists the servers, including unlisted ones with used slots. */
  listServers(nowMs: number): ServerView[];
  /** Returns when a `tick` is due, or undefined if nothing is pending. */
  nextWakeMs(): number | undefined;
}
