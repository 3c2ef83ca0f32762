/**
 * A watched HTTP server on loopback that holds its requests, and raw callers.
 *
 * @module
 */

import { EventEmitter, once } from "node:events";
import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { ExecutionContext } from "ava";
import { watchConnections } from "./mod.ts";
import type { BrokenConnection } from "./mod.ts";

/** Time in milliseconds in which a head must arrive. */
const HEADERS_MS = 50;

/** Interval in milliseconds between checks for late heads. */
const CHECK_MS = 10;

/** Largest size of a head in bytes. */
const MAX_HEADER_BYTES = 1_024;

/** Bytes behind which nothing can be read from a connection. */
export const BROKEN_HEADS = {
  "the beginning of a head": "POST /late HTTP/1.1\r\nhost: desk",
  "bytes that are no HTTP": "\0\0\0\r\n\r\n",
  "a head over the limit": `GET /long HTTP/1.1\r\nx: ${"x".repeat(4_096)}`,
} as const;

/** A watched server. */
export interface WatchedServer {
  readonly port: number;
  /** Responses of the requests so far, by path. */
  readonly responses: Map<string, ServerResponse>;
  /** Connections that broke so far. */
  readonly broken: BrokenConnection[];
  /** Stops accepting connections, and closes idle ones. */
  close(): void;
  /** Resolves when a number of requests has arrived. */
  waitForRequests(count: number): Promise<void>;
  /** Resolves when a number of connections has broken. */
  waitForBroken(count: number): Promise<void>;
}

/** Starts a server that leaves its requests for the test to answer; it closes
 * after the test. */
export async function startWatchedServer(
  t: ExecutionContext,
): Promise<WatchedServer> {
  const responses = new Map<string, ServerResponse>();
  const broken: BrokenConnection[] = [];
  const changes = new EventEmitter();
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_MS,
    connectionsCheckingInterval: CHECK_MS,
  }, (request, response) => {
    request.resume();
    responses.set(request.url!, response);
    changes.emit("change");
  });
  watchConnections(server, {
    onBroken: (connection) => {
      broken.push(connection);
      changes.emit("change");
    },
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const waitUntil = async (isTrue: () => boolean) => {
    while (!isTrue()) await once(changes, "change");
  };
  return {
    port: (server.address() as AddressInfo).port,
    responses,
    broken,
    close: () => server.close(),
    waitForRequests: (count) => waitUntil(() => responses.size >= count),
    waitForBroken: (count) => waitUntil(() => broken.length >= count),
  };
}

/** A caller that writes raw bytes. */
export interface RawCaller {
  readonly socket: Socket;
  /** Resolves with all that was received when the connection has closed. */
  readonly received: Promise<string>;
}

/** Connects a caller that writes requests without a body; the connection is
 * destroyed after the test. */
export function connectCaller(
  t: ExecutionContext,
  port: number,
  paths: readonly string[] = [],
): RawCaller {
  const socket = connect(port, "127.0.0.1");
  t.teardown(() => socket.destroy());
  let text = "";
  socket.on("data", (chunk) => text += chunk);
  socket.on("error", () => {});
  for (const path of paths) {
    socket.write(`GET ${path} HTTP/1.1\r\nhost: desk\r\n\r\n`);
  }
  return { socket, received: once(socket, "close").then(() => text) };
}

/** Lists the statuses in what a caller received. */
export function listStatuses(received: string): number[] {
  return [...received.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) =>
    Number(status)
  );
}
