/**
 * One connection to one backend server; it carries one request at a time.
 *
 * @module
 */

import { Agent } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { startTimeout } from "@dotterelmoor/network.timing";

/** Address, timeouts and cancellation of a connection. */
export interface ConnectOptions {
  readonly address: string;
  readonly connectTimeoutMs: number;
  readonly idleMs: number;
  readonly signal: AbortSignal;
}

/** Callbacks for the states of a connection. */
export interface ConnectionEvents {
  /** The last response is complete and the connection can be reused. */
  onIdle(connection: Connection): void;
  onClose(connection: Connection): void;
}

/** Opens a connection; rejects if it fails, is aborted or does not open in
 * time. */
export function openConnection(
  options: ConnectOptions,
  events: ConnectionEvents,
): Promise<Connection> {
  const { address, connectTimeoutMs, signal } = options;
  const separator = address.lastIndexOf(":");
  return new Promise((resolve, reject) => {
    const socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      noDelay: true,
    });
    const timeout = startTimeout(
      () => closeWith(new Error("The connection did not open in time")),
      connectTimeoutMs,
    );
    function handleAbort(): void {
      closeWith(signal.reason);
    }
    function closeWith(error: unknown): void {
      stopListening();
      socket.on("error", () => {});
      socket.destroy();
      reject(error);
    }
    function stopListening(): void {
      timeout.stop();
      signal.removeEventListener("abort", handleAbort);
      socket.removeListener("error", closeWith);
    }
    signal.addEventListener("abort", handleAbort, { once: true });
    socket.once("error", closeWith);
    socket.once("connect", () => {
      stopListening();
      resolve(new Connection(socket, { idleMs: options.idleMs, events }));
    });
  });
}

/** Largest number of ids of excluded requests that a connection keeps. */
const MAX_EXCLUDED = 64;

let lastNumber = 0;

/** An open connection with an agent that uses only this connection. */
export class Connection {
  /** Identifies the connection in logs; unique in the process. */
  readonly number: number;
  /** Agent for requests on this connection. */
  readonly agent: Agent;
  readonly #socket: Socket;
  #idleMs: number;
  readonly #excludedIds = new Set<string>();
  #isReused = false;
  #idleTimer: NodeJS.Timeout | undefined;
  #handleResponseData: () => void = () => {};

  constructor(
    socket: Socket,
    options: { readonly idleMs: number; readonly events: ConnectionEvents },
  ) {
    lastNumber += 1;
    this.number = lastNumber;
    this.#socket = socket;
    this.#idleMs = options.idleMs;
    this.agent = new SingleSocketAgent(socket, () => {
      this.expectNothing();
      // The agent frees the socket only after this callback returns.
      queueMicrotask(() => options.events.onIdle(this));
    });
    socket.on("error", () => {});
    socket.once("close", () => {
      clearTimeout(this.#idleTimer);
      options.events.onClose(this);
    });
  }

  get isOpen(): boolean {
    return !this.#socket.destroyed && this.#socket.writable &&
      this.#socket.readable;
  }

  /** False if the request was excluded. */
  canCarry(requestId: string): boolean {
    return !this.#excludedIds.has(requestId);
  }

  /**
   * Keeps a request that was refused or failed off this connection if it is
   * sent again: the server may repeat its response late, and the id would not
   * tell the copy from the response to the second send.
   */
  exclude(requestId: string): void {
    this.#excludedIds.add(requestId);
  }

  /** True if no further request can be excluded, so that the connection must not
   * carry another one. */
  get isSpent(): boolean {
    return this.#excludedIds.size >= MAX_EXCLUDED;
  }

  /** True if the connection carried a response before. */
  get isReused(): boolean {
    return this.#isReused;
  }

  /** Ends the idle state for the next request. */
  markBusy(): void {
    this.#isReused = true;
    clearTimeout(this.#idleTimer);
    this.#socket.removeListener("data", this.#handleUnsolicitedData);
  }

  /** Calls back at each read with the number of bytes of the response so
   * far. */
  watchResponse(onRead: (bytes: number) => void): void {
    const socket = this.#socket;
    const startBytes = socket.bytesRead;
    this.#handleResponseData = () => onRead(socket.bytesRead - startBytes);
    socket.on("data", this.#handleResponseData);
  }

  /**
   * Resolves once the peer has ended the connection: true if it did so cleanly.
   * Node.js reports a reset that arrives together with data as a clean end, so
   * this writes a line break, which servers ignore between requests and which
   * fails on a reset connection. Call it before the connection ends. Resolves
   * to false if the signal is aborted before that.
   */
  waitForCleanEnd(signal: AbortSignal): Promise<boolean> {
    const socket = this.#socket;
    return new Promise((resolve) => {
      const abort = () => resolve(false);
      signal.addEventListener("abort", abort);
      socket.once("close", () => resolve(false));
      this.watchEnd(() => {
        signal.removeEventListener("abort", abort);
        socket.write("\r\n", (error) => resolve(!error));
      });
    });
  }

  /** Calls back when the peer ends the connection, before the parser takes the
   * end for that of a response. */
  watchEnd(onEnd: () => void): void {
    this.#socket.prependOnceListener("end", onEnd);
  }

  /** Lowers the time after which this connection is closed when idle; never
   * raises it. */
  limitIdle(idleMs: number): void {
    this.#idleMs = Math.min(this.#idleMs, idleMs);
  }

  close(): void {
    this.#socket.destroy();
  }

  /** Closes the connection if it isn't used again in time, or if further bytes
   * arrive: they would be read as the response to the next request. */
  expectNothing(): void {
    const socket = this.#socket;
    socket.removeListener("data", this.#handleResponseData);
    socket.removeListener("data", this.#handleUnsolicitedData);
    socket.on("data", this.#handleUnsolicitedData);
    clearTimeout(this.#idleTimer);
    this.#idleTimer = setTimeout(() => this.close(), this.#idleMs);
    this.#idleTimer.unref();
  }

  readonly #handleUnsolicitedData = (): void => {
    this.close();
  };
}

class SingleSocketAgent extends Agent {
  readonly #socket: Socket;
  readonly #onFree: () => void;

  constructor(socket: Socket, onFree: () => void) {
    super({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
    this.#socket = socket;
    this.#onFree = onFree;
  }

  override createConnection(): Duplex {
    return this.#socket;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // Node.js returns whether to keep the socket; its types omit this.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) this.#onFree();
    return isKept;
  }
}
