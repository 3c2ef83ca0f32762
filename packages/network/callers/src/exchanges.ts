/**
 * Tracks the requests of callers' connections until they are answered.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Event of a request whose body will not come whole, because its connection
 * broke. The connection stays open for the answer. */
export const BROKEN = "dotterelmoor-broken";

/** A request and its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** The exchanges of one connection. */
export class Exchanges {
  readonly #pending = new Set<Exchange>();
  #newest: IncomingMessage | undefined;

  add(exchange: Exchange): void {
    const { request, response } = exchange;
    this.#newest = request;
    this.#pending.add(exchange);
    response.once("close", () => this.#pending.delete(exchange));
    request.once("close", () => this.#forget(request));
  }

  /** A complete request is not needed any more, and would keep its head and its
   * body for as long as the connection is idle. */
  #forget(request: IncomingMessage): void {
    if (this.#newest === request && request.complete) this.#newest = undefined;
  }

  /** Exchanges whose answers are not written to the end, in order. */
  get pending(): readonly Exchange[] {
    return [...this.#pending].filter(({ response }) =>
      !response.writableFinished
    );
  }

  /** The response of the newest exchange that has not closed. */
  get last(): ServerResponse | undefined {
    return [...this.#pending].at(-1)?.response;
  }

  /** Closes the responses that wait for the connection, when it has closed:
   * Node.js closes the one that has it, and not those behind it. */
  closeWaiting(): void {
    for (const { response } of this.pending) {
      response.destroy();
      response.emit("close");
    }
  }

  /** True if the newest request lacks a part of its body; false if the bytes
   * behind it belong to no request yet. */
  get isInBody(): boolean {
    return this.#newest !== undefined && !this.#newest.complete;
  }
}

/** Tracks the exchanges of a server's open connections. */
export function watchExchanges(
  server: Server,
): ReadonlyMap<Socket, Exchanges> {
  const connections = new Map<Socket, Exchanges>();
  server.prependListener("request", (request, response) => {
    const { socket } = request;
    let exchanges = connections.get(socket);
    if (exchanges === undefined) {
      exchanges = openConnection(socket, connections);
    }
    exchanges.add({ request, response });
  });
  return connections;
}

function openConnection(
  socket: Socket,
  connections: Map<Socket, Exchanges>,
): Exchanges {
  const exchanges = new Exchanges();
  connections.set(socket, exchanges);
  socket.once("close", () => {
    connections.delete(socket);
    // After the listeners of Node.js, which close the first response.
    process.nextTick(() => exchanges.closeWaiting());
  });
  return exchanges;
}

/** Answers a request whose body is broken, in its turn, unless its handler has
 * answered it or does so. */
export function answerBroken(
  { request, response }: Exchange,
  status: number,
): void {
  if (response.headersSent || response.writableEnded) return;
  if (request.emit(BROKEN)) return;
  response.writeHead(status, { connection: "close", "content-length": 0 });
  response.end();
}
