/**
 * The HTTP server for callers.
 *
 * @module
 */

import { createServer } from "node:http";
import type { Server } from "node:http";
import { watchConnections } from "@dotterelmoor/network.callers";
import type {
  BrokenAction,
  BrokenConnection,
} from "@dotterelmoor/network.callers";
import type { CallerProtocol } from "../ports.ts";
import type { Front } from "../request/front.ts";
import { MAX_PARSED_BYTES } from "./header_limit.ts";
import type { HeaderLimit } from "./header_limit.ts";
import type { EdgeLog } from "./logging.ts";
import type { EdgeMetrics } from "./metrics.ts";

/** Idle timeout in milliseconds of callers' connections while no configuration
 * is known; longer than any that an installation configures. */
const INITIAL_IDLE_TIMEOUT_MS = 60_000;

/** Interval in milliseconds at which callers' connections are checked for heads
 * that are late. */
const CHECK_MS = 30_000;

/** Largest number of requests that the line of one connection names. */
const MAX_LOGGED_REQUESTS = 8;

const BROKEN = "Caller's connection broke.";

/** Messages by what was done; each message is rate-limited separately. */
const MESSAGES: Readonly<Record<BrokenAction, string>> = {
  answered: BROKEN,
  closed: BROKEN,
  dropped: "Caller cut its connection.",
  kept: BROKEN,
};

/** Options of `createCallerServer`. */
export interface CallerServerOptions {
  readonly front: Front;
  readonly headerLimit: HeaderLimit;
  readonly protocol: CallerProtocol;
  readonly metrics: EdgeMetrics;
  readonly log: EdgeLog;
  /** Interval in milliseconds between checks for late heads. */
  readonly checkMs?: number;
}

/** Creates the server; it does not listen yet. */
export function createCallerServer(options: CallerServerOptions): Server {
  const { front, headerLimit, checkMs = CHECK_MS } = options;
  const server = createServer(
    {
      maxHeaderSize: MAX_PARSED_BYTES,
      requestTimeout: 0,
      noDelay: true,
      connectionsCheckingInterval: checkMs,
      // The front answers requests without a host itself.
      requireHostHeader: false,
    },
    (request, response) => front.handle(request, response),
  );
  server.keepAliveTimeout = INITIAL_IDLE_TIMEOUT_MS;
  headerLimit.watch(server);
  // Expectations other than 100-continue may be passed over.
  server.on(
    "checkExpectation",
    (request, response) => server.emit("request", request, response),
  );
  watchConnections(server, {
    onBroken: (connection) => recordBroken(connection, options),
  });
  return server;
}

function recordBroken(
  { code, action, pending }: BrokenConnection,
  { protocol, metrics, log }: CallerServerOptions,
): void {
  metrics.brokenConnections.inc({ code, action });
  log.decide(MESSAGES[action], {
    code,
    action,
    pending: pending.length,
    requests: pending.slice(0, MAX_LOGGED_REQUESTS)
      .map(({ headers }) => protocol.readRequest(headers).requestId),
  });
}
