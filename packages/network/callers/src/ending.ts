/**
 * Closes connections.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Time in milliseconds for which a connection is read after its last answer,
 * for the caller to close it: closing it with unread bytes resets it, and the
 * caller may lose the answer. */
const LINGER_MS = 1_000;

/** Closes a connection after what was written to it. */
export function endConnection(socket: Socket): void {
  if (socket.destroyed) return;
  socket.end();
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once("close", () => clearTimeout(timer));
}
