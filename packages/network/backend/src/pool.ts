/**
 * Pool with a limited number of connections per backend server.
 *
 * @module
 */

import { openConnection } from "./connection.ts";
import type { Connection, ConnectionEvents } from "./connection.ts";

/** Limits of a connection pool. */
export interface PoolOptions {
  readonly maxConnectionsPerServer: number;
  readonly connectTimeoutMs: number;
  readonly idleMs: number;
}

/** What selects a connection for a request. */
export interface PooledRequest {
  /** `host:port` of the server. */
  readonly address: string;
  readonly requestId: string;
}

interface ServerPool {
  /** Number of connections that are open or being opened. */
  opened: number;
  readonly idle: Connection[];
  readonly waiting: Set<() => void>;
}

/** Connections to all backend servers of one process. */
export class ConnectionPool {
  readonly #options: PoolOptions;
  readonly #servers = new Map<string, ServerPool>();
  readonly #connections = new Set<Connection>();

  constructor(options: PoolOptions) {
    this.#options = options;
  }

  /** Takes an idle connection that can carry the request, or opens one; waits
   * while the limit is reached. Rejects if the connection cannot be opened or
   * the signal is aborted. */
  async take(
    { address, requestId }: PooledRequest,
    signal: AbortSignal,
  ): Promise<Connection> {
    while (true) {
      signal.throwIfAborted();
      const server = this.#getServer(address);
      const idle = takeIdle(server, requestId);
      if (idle !== undefined) return idle;
      if (server.opened < this.#options.maxConnectionsPerServer) {
        return await this.#open(address, signal);
      }
      // The idle connections that are left cannot carry the request; the slot
      // of a closed one becomes free.
      server.idle[0]?.close();
      await waitForTurn(server, signal);
      // An aborted waiter must not consume the notification.
      if (signal.aborted) notifyNext(server);
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const connection of this.#connections) connection.close();
  }

  #getServer(address: string): ServerPool {
    let server = this.#servers.get(address);
    if (server === undefined) {
      server = { opened: 0, idle: [], waiting: new Set() };
      this.#servers.set(address, server);
    }
    return server;
  }

  async #open(address: string, signal: AbortSignal): Promise<Connection> {
    const server = this.#getServer(address);
    server.opened += 1;
    const events: ConnectionEvents = {
      onIdle: (connection) => {
        if (connection.isSpent) connection.close();
        if (!connection.isOpen) return;
        server.idle.push(connection);
        notifyNext(server);
      },
      onClose: (connection) => {
        this.#connections.delete(connection);
        const index = server.idle.indexOf(connection);
        if (index >= 0) server.idle.splice(index, 1);
        this.#releaseSlot(address, server);
      },
    };
    try {
      const connection = await openConnection({
        address,
        signal,
        connectTimeoutMs: this.#options.connectTimeoutMs,
        idleMs: this.#options.idleMs,
      }, events);
      this.#connections.add(connection);
      return connection;
    } catch (error) {
      this.#releaseSlot(address, server);
      throw error;
    }
  }

  #releaseSlot(address: string, server: ServerPool): void {
    server.opened -= 1;
    notifyNext(server);
    if (server.opened === 0 && server.waiting.size === 0) {
      this.#servers.delete(address);
    }
  }
}

/** Takes the newest idle connection that can carry the request. */
function takeIdle(
  { idle }: ServerPool,
  requestId: string,
): Connection | undefined {
  for (let index = idle.length - 1; index >= 0; index--) {
    const connection = idle[index]!;
    if (connection.isOpen && !connection.canCarry(requestId)) continue;
    idle.splice(index, 1);
    connection.markBusy();
    if (connection.isOpen) return connection;
    connection.close();
  }
  return undefined;
}

function notifyNext(server: ServerPool): void {
  const [next] = server.waiting;
  if (next === undefined) return;
  server.waiting.delete(next);
  next();
}

function waitForTurn(server: ServerPool, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    function handleAbort(): void {
      server.waiting.delete(takeTurn);
      reject(signal.reason);
    }
    function takeTurn(): void {
      signal.removeEventListener("abort", handleAbort);
      resolve();
    }
    server.waiting.add(takeTurn);
    signal.addEventListener("abort", handleAbort, { once: true });
  });
}
