/**
 * Keeps answers that are being written when a server closes idle connections.
 *
 * @module
 */

import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { endConnection } from "./ending.ts";
import type { Exchanges } from "./exchanges.ts";

/** Replaces the server's `closeIdleConnections`, which its `close` calls too:
 * to Node.js, an answer is finished when it is handed over, although its caller
 * may still be reading it. Such a connection closes when nothing is left to
 * write. */
export function keepUnwritten(
  server: Server,
  connections: ReadonlyMap<Socket, Exchanges>,
): void {
  const closeIdle = server.closeIdleConnections.bind(server);
  server.closeIdleConnections = () => {
    const unwritten: ServerResponse[] = [];
    for (const [socket, exchanges] of connections) {
      const response = exchanges.pending[0]?.response;
      if (!response?.writableEnded) continue;
      unwritten.push(response);
      endAfterLast(socket, exchanges);
    }
    // Node.js spares connections whose answer is not finished.
    for (const response of unwritten) response.finished = false;
    closeIdle();
    for (const response of unwritten) response.finished = true;
  };
}

function endAfterLast(socket: Socket, exchanges: Exchanges): void {
  const last = exchanges.pending.at(-1);
  if (last === undefined) endConnection(socket);
  else last.response.once("close", () => endAfterLast(socket, exchanges));
}
