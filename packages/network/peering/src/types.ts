/**
 * Public types of the peer server and the connection pool.
 *
 * @module
 */

import type {
  PeerIdentity,
  PeerMessage,
  PeerMessageOf,
  PeerMessageType,
} from "./messages.ts";

/** Receives log lines; a pino logger can be passed. */
export interface PeerLog {
  debug(message: string): void;
  warn(message: string): void;
}

/** Limits on frame sizes, connections, calls and times. */
export interface PeerLimits {
  /** Largest frame in bytes, without its length prefix. */
  readonly maxFrameBytes: number;
  /** Maximum number of open connections, per server and per pool. */
  readonly maxConnections: number;
  /** Time in milliseconds to open a connection, including both hellos. */
  readonly helloTimeoutMs: number;
  /** Maximum number of calls in progress per connection. */
  readonly maxCalls: number;
  /** Unsent bytes of a connection above which notifications are dropped. */
  readonly maxNotifyBuffer: number;
  /** Unsent bytes of a connection above which calls are not sent. */
  readonly maxCallBuffer: number;
  /** Time in milliseconds after which a pool closes an idle connection. */
  readonly idleMs: number;
  /** Initial backoff in milliseconds after a failed connection attempt. */
  readonly backoffMs: number;
  /** Maximum backoff in milliseconds; it doubles up to this with each failure. */
  readonly maxBackoffMs: number;
}

/** Sender of a message, and a signal for its cancellation. */
export interface HandlerContext {
  readonly peer: PeerIdentity;
  /** Aborted when the call is cancelled or its connection is closed. */
  readonly signal: AbortSignal;
}

/** Handlers by message type; the result is sent only as the answer to a call. */
export type PeerHandlers = {
  readonly [T in PeerMessageType]?: (
    message: PeerMessageOf<T>,
    context: HandlerContext,
  ) => Promise<PeerMessage | undefined>;
};

/** Options of `createPeerServer`. */
export interface PeerServerOptions {
  readonly host: string;
  /** Port to listen on; 0 selects a free port. */
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

/** Options of `createPeerPool`. */
export interface PeerPoolOptions {
  /** Own identity, read anew for each connection when it is a function. */
  readonly identity: PeerIdentity | (() => PeerIdentity);
  readonly token: string;
  readonly limits?: Partial<PeerLimits>;
  readonly log?: PeerLog;
}

/** Options of one call. */
export interface CallOptions {
  /** Includes the time to open a connection. */
  readonly timeoutMs: number;
  /** Cancels the call, also at the peer. */
  readonly signal?: AbortSignal;
  /** Sends the call only if the peer's hello carries this process id. */
  readonly processId?: string;
}

/** Result of one call. */
export type CallResult =
  | {
    readonly type: "answered";
    readonly message: PeerMessage;
    readonly peer: PeerIdentity;
  }
  /** No byte of the call was written. */
  | { readonly type: "not_sent" }
  /** The call was written, but no usable answer arrived. */
  | { readonly type: "lost" }
  /** The signal was aborted; `sent` is true if bytes may have been written. */
  | { readonly type: "cancelled"; readonly sent: boolean };

/** Outgoing connections, at most one per peer address; no method throws. */
export interface PeerPool {
  /** Sends a message and waits for its answer. */
  call(
    address: string,
    message: PeerMessage,
    options: CallOptions,
  ): Promise<CallResult>;
  /** Sends a message that gets no answer; dropped if it cannot be sent soon. */
  notify(address: string, message: PeerMessage): void;
  /** Closes the connection to an address, for example that of a dead peer. */
  closePeer(address: string): void;
  /** Closes all connections; calls in progress end as lost. */
  close(): void;
}
