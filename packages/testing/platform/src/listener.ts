/**
 * HTTP listeners of the stand-in platform.
 *
 * @module
 */

import { createServer } from "node:http";
import type { IncomingMessage, RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Largest request body in bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** A listening HTTP server. */
export interface Listener {
  readonly url: string;
  close(): Promise<void>;
}

/** Where a listener listens. */
export interface ListenerOptions {
  readonly host: string;
  readonly port: number;
}

/** Opens a listener; closing it ends its connections at once. */
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

/** Reads a whole body; undefined if it is too large. */
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

/** Reads a JSON body; undefined if it is none. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  if (body === undefined) return undefined;
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}
