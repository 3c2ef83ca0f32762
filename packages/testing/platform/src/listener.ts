/**
 * HTTP listeners of the simulated platform.
 *
 * @module
 */

import { createServer } from "node:http";
import type { IncomingMessage, RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Maximum size of a request body. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** A listening HTTP server. */
export interface Listener {
  /** Base URL, without a trailing slash. */
  readonly url: string;
  /** Stops listening and closes all connections at once. */
  close(): Promise<void>;
}

/** Options of `openListener`. */
export interface ListenerOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
}

/** Starts an HTTP server; rejects if the address cannot be bound. */
export async function openListener(
  handler: RequestListener,
  options: ListenerOptions,
): Promise<Listener> {
  const server: Server = createServer({ keepAliveTimeout: 60_000 }, handler);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://${options.host}:${port}`,
    close: () => closeServer(server),
  };
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Reads a complete request body; undefined if it exceeds `MAX_BODY_BYTES`. */
export async function readBody(
  request: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > MAX_BODY_BYTES) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Reads a JSON request body; undefined if it is too large or not JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  if (body === undefined) return undefined;
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}
