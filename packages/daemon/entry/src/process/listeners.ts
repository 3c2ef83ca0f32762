/**
 * HTTP listeners with limits on headers, connections and durations.
 *
 * @module
 */

import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { watchConnections } from "@dotterelmoor/network.callers";
import type { Logger } from "pino";
import { createBrokenLog } from "./broken_log.ts";

const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 15_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const MAX_HEADER_BYTES = 16 * 1_024;
/** Keep-alive time of a closing listener: the shortest that Node.js takes. */
const CLOSING_KEEP_ALIVE_MS = 1;

/** Options of `openListener`. */
export interface ListenerOptions {
  readonly host: string;
  /** 0 for a port chosen by the operating system. */
  readonly port: number;
  readonly maxConnections: number;
  readonly handler: RequestListener;
  readonly log: Logger;
  /** Longest time in milliseconds that `close` waits for callers to read their
   * answers; by default as long as for their requests. */
  readonly unreadTimeoutMs?: number;
}

/** An open listener. */
export interface Listener {
  /** Address that it listens on, as `host:port`. */
  readonly address: string;
  /** Stops accepting, closes idle connections and waits a while for the
   * others. */
  close(): Promise<void>;
}

/** Opens a listener. */
export async function openListener(
  options: ListenerOptions,
): Promise<Listener> {
  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    // The handler answers requests without a host: Node.js would close their
    // connections under the requests behind them.
    requireHostHeader: false,
  }, options.handler);
  // Expectations other than 100-continue may be passed over.
  server.on(
    "checkExpectation",
    (request, response) => server.emit("request", request, response),
  );
  // 0 is no limit: Node.js would drop header lines beyond a limit silently, and
  // `maxHeaderSize` already bounds them.
  server.maxHeadersCount = 0;
  watchConnections(server, { onBroken: createBrokenLog(options.log) });
  server.maxConnections = options.maxConnections;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `${options.host}:${port}`,
    close: () => closeServer(server, options),
  };
}

function closeServer(
  server: Server,
  { log, unreadTimeoutMs = REQUEST_TIMEOUT_MS }: ListenerOptions,
): Promise<void> {
  server.keepAliveTimeout = CLOSING_KEEP_ALIVE_MS;
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      log.warn("Connections cut off; their callers did not read.");
      server.closeAllConnections();
    }, unreadTimeoutMs);
    server.close(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
