/**
 * Accepts connections from peers.
 *
 * @module
 */

import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { resolveLimits, SILENT_LOG } from "./limits.ts";
import { ServerConnection } from "./server_connection.ts";
import type { PeerServer, PeerServerOptions } from "./types.ts";

/** Starts a peer server; rejects if it cannot listen. */
export async function createPeerServer(
  options: PeerServerOptions,
): Promise<PeerServer> {
  const limits = resolveLimits(options.limits);
  const log = options.log ?? SILENT_LOG;
  const connections = new Set<ServerConnection>();
  const listener = createServer((socket) => {
    const connection = new ServerConnection(socket, {
      server: options,
      limits,
      log,
      onClose: () => connections.delete(connection),
    });
    connections.add(connection);
  });
  listener.maxConnections = limits.maxConnections;
  listener.on(
    "drop",
    () =>
      log.warn(
        "[peer] Dropped a connection: limit of open connections reached",
      ),
  );
  await new Promise<void>((resolve, reject) => {
    listener.once("error", reject);
    listener.listen(options.port, options.host, resolve);
  });
  const { port } = listener.address() as AddressInfo;
  return {
    address: `${options.host}:${port}`,
    close: () =>
      new Promise((resolve) => {
        listener.close(() => resolve());
        for (const connection of connections) connection.close();
      }),
  };
}
