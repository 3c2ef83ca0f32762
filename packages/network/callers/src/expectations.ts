/**
 * Answers requests that expect `100 Continue` before they send their body.
 *
 * @module
 */

import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Exchanges } from "./exchanges.ts";

/** Writes `100 Continue` in the turn of its request. Node.js would keep it for a
 * request behind an unanswered one, and write it between the head and the body
 * of the answer. */
export function continueInTurn(
  server: Server,
  connections: ReadonlyMap<Socket, Exchanges>,
): void {
  server.on("checkContinue", (request, response) => {
    const writeContinue = () => {
      if (hasTurn(response) && !response.headersSent) response.writeContinue();
    };
    if (hasTurn(response)) writeContinue();
    else connections.get(request.socket)?.last?.once("close", writeContinue);
    server.emit("request", request, response);
  });
}

/** True once all answers before this one are written. */
function hasTurn(response: ServerResponse): boolean {
  return response.socket !== null;
}
