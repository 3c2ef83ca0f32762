/**
 * Outgoing connections to peers, opened on demand.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { startTimeout } from "@dotterelmoor/network.timing";
import { resolveLimits, SILENT_LOG } from "./limits.ts";
import { ClientConnection } from "./client_connection.ts";
import type { PeerMessage } from "./messages.ts";
import type {
  CallOptions,
  CallResult,
  PeerLimits,
  PeerLog,
  PeerPool,
  PeerPoolOptions,
} from "./types.ts";

/** Number of calls and notifications waiting for one connection to open at
 * which further notifications are dropped. */
const MAX_WAITING_NOTIFICATIONS = 64;

/** Number of failed addresses above which those past their backoff are removed. */
const MAX_RECORDED_FAILURES = 4_096;

/** Creates a pool of outgoing connections. */
export function createPeerPool(options: PeerPoolOptions): PeerPool {
  const connections = new ClientConnections(options);
  return {
    call: (address, message, callOptions) =>
      sendCall(connections, { address, message, options: callOptions }),
    notify: (address, message) =>
      sendNotification(connections, address, message),
    closePeer: (address) => connections.closePeer(address),
    close: () => connections.close(),
  };
}

interface Call {
  readonly address: string;
  readonly message: PeerMessage;
  readonly options: CallOptions;
}

async function sendCall(
  connections: ClientConnections,
  call: Call,
): Promise<CallResult> {
  const { message, options } = call;
  const { signal, timeoutMs } = options;
  if (signal?.aborted) return { type: "cancelled", sent: false };
  const startedAt = performance.now();
  const connection = connections.get(call.address);
  if (connection === undefined) return { type: "not_sent" };
  const isReady = await waitForReady(connection, options);
  if (signal?.aborted) return { type: "cancelled", sent: false };
  const remainingMs = timeoutMs - (performance.now() - startedAt);
  if (!isReady || remainingMs <= 0) return { type: "not_sent" };
  return await connection.call(message, { ...options, timeoutMs: remainingMs });
}

async function waitForReady(
  connection: ClientConnection,
  options: CallOptions,
): Promise<boolean> {
  const { signal, timeoutMs } = options;
  let stop = () => {};
  const stopped = new Promise<boolean>((resolve) => {
    stop = () => resolve(false);
  });
  const timeout = startTimeout(stop, timeoutMs);
  signal?.addEventListener("abort", stop, { once: true });
  connection.waiting += 1;
  try {
    return await Promise.race([connection.ready, stopped]);
  } finally {
    connection.waiting -= 1;
    timeout.stop();
    signal?.removeEventListener("abort", stop);
  }
}

function sendNotification(
  connections: ClientConnections,
  address: string,
  message: PeerMessage,
): void {
  const connection = connections.get(address);
  if (
    connection === undefined ||
    connection.waiting >= MAX_WAITING_NOTIFICATIONS
  ) return;
  connection.waiting += 1;
  connection.ready.then((isReady) => {
    connection.waiting -= 1;
    if (isReady) connection.notify(message);
  });
}

interface ConnectionFailure {
  readonly pauseMs: number;
  readonly retryAt: number;
}

/** Connections by address, and backoffs after failed attempts. */
class ClientConnections {
  readonly #options: PeerPoolOptions;
  readonly #limits: PeerLimits;
  readonly #log: PeerLog;
  /** In order of last use, oldest first. */
  readonly #pool = new Map<string, ClientConnection>();
  readonly #failures = new Map<string, ConnectionFailure>();
  #isClosed = false;

  constructor(options: PeerPoolOptions) {
    this.#options = options;
    this.#limits = resolveLimits(options.limits);
    this.#log = options.log ?? SILENT_LOG;
  }

  /** Gets or opens a connection; undefined if none may be opened now. */
  get(address: string): ClientConnection | undefined {
    const connection = this.#pool.get(address);
    if (connection !== undefined) {
      this.#pool.delete(address);
      this.#pool.set(address, connection);
      return connection;
    }
    const failure = this.#failures.get(address);
    const mustWait = failure !== undefined &&
      performance.now() < failure.retryAt;
    if (this.#isClosed || mustWait || !this.#makeRoom()) return undefined;
    return this.#open(address);
  }

  closePeer(address: string): void {
    this.#pool.get(address)?.close();
  }

  close(): void {
    this.#isClosed = true;
    for (const connection of this.#pool.values()) connection.close();
  }

  #open(address: string): ClientConnection {
    const connection = new ClientConnection({
      address,
      pool: this.#options,
      limits: this.#limits,
      log: this.#log,
      onClose: (wasOpen) => {
        if (this.#pool.get(address) === connection) this.#pool.delete(address);
        if (wasOpen) this.#failures.delete(address);
        else this.#recordFailure(address);
      },
    });
    this.#pool.set(address, connection);
    return connection;
  }

  /** At the limit, closes the least recently used idle connection. Returns
   * whether another connection may be opened. */
  #makeRoom(): boolean {
    if (this.#pool.size < this.#limits.maxConnections) return true;
    for (const [address, connection] of this.#pool) {
      if (!connection.isIdle) continue;
      this.#pool.delete(address);
      connection.close();
      return true;
    }
    return false;
  }

  #recordFailure(address: string): void {
    const { backoffMs, maxBackoffMs } = this.#limits;
    const last = this.#failures.get(address);
    const pauseMs = last === undefined
      ? backoffMs
      : Math.min(2 * last.pauseMs, maxBackoffMs);
    const now = performance.now();
    this.#failures.set(address, { pauseMs, retryAt: now + pauseMs });
    if (this.#failures.size <= MAX_RECORDED_FAILURES) return;
    for (const [other, failure] of this.#failures) {
      if (failure.retryAt < now) this.#failures.delete(other);
    }
  }
}
