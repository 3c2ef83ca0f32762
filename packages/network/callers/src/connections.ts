/**
 * Handles errors of callers' connections.
 *
 * @module
 */

import { STATUS_CODES } from "node:http";
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { endConnection } from "./ending.ts";
import { answerBroken, Exchanges, watchExchanges } from "./exchanges.ts";
import type { Exchange } from "./exchanges.ts";
import { continueInTurn } from "./expectations.ts";
import { keepUnwritten } from "./idle.ts";

/** Status of the answer to a broken message by error code; 400 for others. */
const STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

/** Code of the error with which a connection ends within a message. */
const END_CODE = "HPE_INVALID_EOF_STATE";

/** Code of a connection on which a tunnel is asked for. */
const CONNECT_CODE = "CONNECT";

/** Code of a connection on which another protocol is asked for. */
const UPGRADE_CODE = "UPGRADE";

/** Codes of messages behind which nothing can be read, while the connection
 * itself works. */
const MESSAGE_CODES = /^(HPE_|ERR_HTTP_REQUEST_TIMEOUT$|CONNECT$|UPGRADE$)/;

/** What was done about a broken connection:
 *
 * - `kept`: the unanswered requests get their own answers, then it is closed;
 * - `answered`: the broken message was answered, and the connection closed;
 * - `closed`: closed, as the broken message had its answer already;
 * - `dropped`: the caller had closed or reset it.
 */
export type BrokenAction = "answered" | "closed" | "dropped" | "kept";

/** A caller's connection from which no further request can be read. */
export interface BrokenConnection {
  readonly code: string;
  readonly action: BrokenAction;
  /** The requests that were not answered yet, in order. */
  readonly pending: readonly IncomingMessage[];
}

/** Options of `watchConnections`. */
export interface ConnectionOptions {
  /** Called once for each connection that breaks. */
  readonly onBroken: (connection: BrokenConnection) => void;
}

/** What an action has to do. */
interface BrokenContext {
  readonly socket: Socket;
  readonly status: number;
  readonly exchanges: Exchanges;
  readonly pending: readonly Exchange[];
}

const ACTIONS: Readonly<
  Record<BrokenAction, (context: BrokenContext) => void>
> = {
  answered: ({ socket, status }) => {
    discardInput(socket);
    const line = `HTTP/1.1 ${status} ${STATUS_CODES[status]}`;
    socket.write(`${line}\r\nconnection: close\r\n\r\n`);
    endConnection(socket);
  },
  closed: ({ socket }) => {
    discardInput(socket);
    endConnection(socket);
  },
  dropped: ({ socket }) => socket.destroy(),
  kept: ({ socket, status, exchanges, pending }) => {
    discardInput(socket);
    const last = pending.at(-1)!;
    const { response } = last;
    if (!response.headersSent) response.setHeader("connection", "close");
    response.once("finish", () => endConnection(socket));
    if (exchanges.isInBody) answerBroken(last, status);
  },
};

/** Handles the errors of a server's connections in the place of Node.js, which
 * would write an answer to the broken message in the place of the answers to
 * the requests before it. */
export function watchConnections(
  server: Server,
  options: ConnectionOptions,
): void {
  const connections = watchExchanges(server);
  keepUnwritten(server, connections);
  continueInTurn(server, connections);
  const broken = new WeakSet<Socket>();
  const handleBroken = (socket: Socket, code: string) => {
    if (broken.has(socket)) {
      // Of the further errors, only the end of the connection is new.
      if (code === END_CODE) socket.destroy();
      return;
    }
    broken.add(socket);
    const exchanges = connections.get(socket) ?? new Exchanges();
    const { pending } = exchanges;
    const action = chooseAction(code, { socket, exchanges });
    const status = STATUSES[code] ?? 400;
    ACTIONS[action]({ socket, status, exchanges, pending });
    options.onBroken({
      code,
      action,
      pending: pending.map(({ request }) => request),
    });
  };
  server.on("clientError", (error: NodeJS.ErrnoException, stream) => {
    handleBroken(stream as Socket, error.code ?? "unknown");
  });
  server.on("connect", (_request, stream) => {
    const socket = stream as Socket;
    // Node.js has removed its own listeners.
    socket.on("error", () => socket.destroy());
    socket.on("end", () => socket.destroy());
    handleBroken(socket, CONNECT_CODE);
  });
  server.on("request", (request) => {
    if (!asksForUpgrade(request)) return;
    const end = () => handleBroken(request.socket, UPGRADE_CODE);
    // Both run before the connection is read again.
    process.nextTick(() => {
      if (request.complete) end();
      else request.once("end", end);
    });
  });
}

/** True if the parser ends with a request, to leave what follows to another
 * protocol. Without a listener, it drops the rest of the bytes that it has, and
 * reads on in the middle of a message. */
function asksForUpgrade({ headers }: IncomingMessage): boolean {
  return headers.upgrade !== undefined &&
    /\bupgrade\b/i.test(headers.connection ?? "");
}

function chooseAction(
  code: string,
  { socket, exchanges }: {
    readonly socket: Socket;
    readonly exchanges: Exchanges;
  },
): BrokenAction {
  const hasPending = exchanges.pending.length > 0;
  if (!MESSAGE_CODES.test(code) || !socket.writable) return "dropped";
  // As without an error, a caller that ends its connection has left.
  if (code === END_CODE && hasPending) return "dropped";
  if (hasPending) return "kept";
  const hadAnswer = exchanges.isInBody || code === UPGRADE_CODE;
  return hadAnswer ? "closed" : "answered";
}

/** Reads and drops what still arrives: nothing of it becomes a request or takes
 * memory, and the end of the connection is noticed. */
function discardInput(socket: Socket): void {
  // Takes the socket from the parser of Node.js.
  socket.removeAllListeners("data");
  socket.on("data", () => {});
  socket.resume();
}
