/**
 * HTTP listeners with limits on headers, connections and durations.
 *
 * @module
 */

import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import { Server as TcpServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { Logger } from "pino";

const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 15_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const MAX_HEADER_BYTES = 16 * 1_024;

/** Options of `openListener`. */
export interface ListenerOptions {
  readonly host: string;
  /** 0 for a port chosen by the operating system. */
  readonly port: number;
  readonly maxConnections: number;
  readonly handler: RequestListener;
  readonly log: Logger;
  /** Longest time in milliseconds that `close` waits for callers to read their
   * answers; by default as long as for their requests. */
  readonly unreadTimeoutMs?: number;
}

/** An open listener. */
export interface Listener {
  /** Address that it listens on, as `host:port`. */
  readonly address: string;
  /** Stops accepting, waits until callers have read their answers, and closes
   * each connection when it is idle. */
  close(): Promise<void>;
}

/** Opens a listener. */
export async function openListener(
  options: ListenerOptions,
): Promise<Listener> {
  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
  }, options.handler);
  server.maxConnections = options.maxConnections;
  const closer = new ServerCloser(server, options);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `${options.host}:${port}`,
    close: () => closer.close(),
  };
}

/** Closes a server without cutting off answers. The `close` of an HTTP server
 * also destroys connections whose oldest answer is not sent yet, and with it the
 * answers to the requests behind. */
class ServerCloser {
  readonly #server: Server;
  readonly #options: ListenerOptions;
  /** Number of answers that are not sent yet, by connection. */
  readonly #unsent = new Map<Socket, number>();
  #isClosing = false;
  #isOverdue = false;

  constructor(server: Server, options: ListenerOptions) {
    this.#server = server;
    this.#options = options;
    server.on("connection", (socket) => {
      // A response that waits behind another one emits no `close`.
      socket.once("close", () => this.#count(socket, -Infinity));
    });
    server.on("request", ({ socket }, response) => {
      this.#count(socket, 1);
      response.once("close", () => this.#count(socket, -1));
    });
  }

  close(): Promise<void> {
    this.#isClosing = true;
    const { unreadTimeoutMs = REQUEST_TIMEOUT_MS } = this.#options;
    const timer = setTimeout(() => this.#cut(), unreadTimeoutMs);
    return new Promise((resolve) => {
      TcpServer.prototype.close.call(this.#server, () => {
        clearTimeout(timer);
        resolve();
      });
      this.#closeIdle();
    });
  }

  #count(socket: Socket, change: number): void {
    const count = (this.#unsent.get(socket) ?? 0) + change;
    if (count > 0) this.#unsent.set(socket, count);
    else this.#unsent.delete(socket);
    // By then, a connection whose last answer was sent is idle.
    if (this.#isClosing) setImmediate(() => this.#closeIdle());
  }

  #closeIdle(): void {
    if (this.#unsent.size > 0 && !this.#isOverdue) return;
    this.#server.closeIdleConnections();
  }

  /** Closes the connections of callers that do not read their answers. */
  #cut(): void {
    this.#isOverdue = true;
    const connections = this.#unsent.size;
    if (connections > 0) {
      const { log } = this.#options;
      log.warn({ connections }, "Unread answers are not waited for.");
    }
    this.#closeIdle();
  }
}
