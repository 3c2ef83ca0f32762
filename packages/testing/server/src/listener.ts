/**
 * HTTP listeners of the simulated backend server.
 *
 * @module
 */

import { createServer } from "node:http";
import type { IncomingMessage, RequestListener, Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Maximum size of a request body, above the limit of the entries. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Open connections of a listener and the bytes since its start. */
export interface Traffic {
  readonly connections: number;
  readonly bytesIn: number;
  readonly bytesOut: number;
}

/** A listening HTTP server. */
export interface Listener {
  /** `host:port`. */
  readonly address: string;
  readTraffic(): Traffic;
  /** Stops listening and closes all connections at once. */
  close(): Promise<void>;
}

/** Options of `openListener`. */
export interface ListenerOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  /** Further connections are closed; unlimited by default. */
  readonly maxConnections?: number;
}

/** Starts an HTTP server; rejects if the address cannot be bound. */
export async function openListener(
  handler: RequestListener,
  options: ListenerOptions,
): Promise<Listener> {
  const server = createServer(handler);
  if (options.maxConnections !== undefined) {
    server.maxConnections = options.maxConnections;
  }
  const readTraffic = measureTraffic(server);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `${options.host}:${port}`,
    readTraffic,
    close: () => closeServer(server),
  };
}

function measureTraffic(server: Server): () => Traffic {
  const openSockets = new Set<Socket>();
  let closedBytesIn = 0;
  let closedBytesOut = 0;
  server.on("connection", (socket: Socket) => {
    openSockets.add(socket);
    socket.once("close", () => {
      openSockets.delete(socket);
      closedBytesIn += socket.bytesRead;
      closedBytesOut += socket.bytesWritten;
    });
  });
  return () => {
    let bytesIn = closedBytesIn;
    let bytesOut = closedBytesOut;
    for (const socket of openSockets) {
      bytesIn += socket.bytesRead;
      bytesOut += socket.bytesWritten;
    }
    return { connections: openSockets.size, bytesIn, bytesOut };
  };
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Reads a complete request body; undefined if it is truncated or too large. */
export async function readBody(
  request: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request) {
      length += (chunk as Buffer).length;
      if (length > MAX_BODY_BYTES) return undefined;
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}
