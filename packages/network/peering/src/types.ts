/**
 * Public types of the peer server and the peer pool.
 *
 * @module
 */

import type {
  PeerIdentity,
  PeerMessage,
  PeerMessageOf,
  PeerMessageType,
} from "./messages.ts";

/** Receives short log lines; a pino logger fits. */
export interface PeerLog {
  debug(message: string): void;
  warn(message: string): void;
}

/** Bounds on frames, connections and times. */
export interface PeerLimits {
  /** Largest frame in bytes, without its length prefix. */
  readonly maxFrameBytes: number;
  /** Open connections of a server, and of a pool. */
  readonly maxConnections: number;
  /** Time in milliseconds for opening a connection, with both hellos. */
  readonly helloTimeoutMs: number;
  /** Calls in progress on one connection. */
  readonly maxCalls: number;
  /** Bytes waiting in a connection above which notifications are dropped. */
  readonly maxNotifyBuffer: number;
  /** Bytes waiting in a connection above which calls are not sent. */
  readonly maxCallBuffer: number;
  /** Time in milliseconds after which a pool closes an idle connection. */
  readonly idleMs: number;
  /** First pause in milliseconds after a failed connection. */
  readonly backoffMs: number;
  /** Longest pause in milliseconds after failed connections. */
  readonly maxBackoffMs: number;
}

/** Who sent a message, and whether its answer is still wanted. */
export interface HandlerContext {
  readonly peer: PeerIdentity;
  /** Aborted when the call is cancelled or its connection has ended. */
  readonly signal: AbortSignal;
}

/** Handlers by message type; the result answers a call, if it was one. */
export type PeerHandlers = {
  readonly [T in PeerMessageType]?: (
    message: PeerMessageOf<T>,
    context: HandlerContext,
  ) => Promise<PeerMessage | undefined>;
};

/** Settings of a peer server. */
export interface PeerServerOptions {
  readonly host: string;
  /** Port to listen on; 0 picks a free one. */
  readonly port: number;
  /** Own identity, read anew for each connection when it is a function. */
  readonly identity: PeerIdentity | (() => PeerIdentity);
  readonly token: string;
  readonly handlers: PeerHandlers;
  readonly limits?: Partial<PeerLimits>;
  readonly log?: PeerLog;
}

/** A listening peer server. */
export interface PeerServer {
  /** `host:port` that the server listens on. */
  readonly address: string;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/** Settings of a peer pool. */
export interface PeerPoolOptions {
  /** Own identity, read anew for each connection when it is a function. */
  readonly identity: PeerIdentity | (() => PeerIdentity);
  readonly token: string;
  readonly limits?: Partial<PeerLimits>;
  readonly log?: PeerLog;
}

/** Bounds of one call. */
export interface CallOptions {
  readonly timeoutMs: number;
  /** Cancels the call at the peer too. */
  readonly signal?: AbortSignal;
  /** Sends the call only if the peer's hello named this process. */
  readonly processId?: string;
}

/** What became of one call. */
export type CallResult =
  | {
    readonly type: "answered";
    readonly message: PeerMessage;
    readonly peer: PeerIdentity;
  }
  /** No byte of the call was written. */
  | { readonly type: "not_sent" }
  /** The call was written, and no usable answer came. */
  | { readonly type: "lost" }
  /** The signal was aborted; `sent` tells whether bytes may have left. */
  | { readonly type: "cancelled"; readonly sent: boolean };

/** Outgoing connections, one per peer address; no method throws. */
export interface PeerPool {
  /** Sends a message and waits for its answer. */
  call(
    address: string,
    message: PeerMessage,
    options: CallOptions,
  ): Promise<CallResult>;
  /** Sends a message without answer; dropped when it cannot go out soon. */
  notify(address: string, message: PeerMessage): void;
  /** Closes the connection to an address, such as that of a dead peer. */
  closePeer(address: string): void;
  /** Closes all connections; calls in progress end as lost. */
  close(): void;
}
