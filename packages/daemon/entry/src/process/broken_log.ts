/**
 * Logs callers' connections that break.
 *
 * @module
 */

import type { BrokenConnection } from "@dotterelmoor/network.callers";
import type { Logger } from "pino";

/** Time in milliseconds between two lines; connections in between are only
 * counted. */
const LINE_INTERVAL_MS = 200;

/** Largest number of requests that a line names. */
const MAX_LOGGED_REQUESTS = 8;

/** Creates a function that logs a connection. A line has the number of
 * connections since the last one as `omitted`. */
export function createBrokenLog(
  log: Logger,
): (connection: BrokenConnection) => void {
  let loggedAtMs = -Infinity;
  let omitted = 0;
  return ({ code, action, pending }) => {
    const nowMs = performance.now();
    if (nowMs - loggedAtMs < LINE_INTERVAL_MS) {
      omitted += 1;
      return;
    }
    const requests = pending.slice(0, MAX_LOGGED_REQUESTS)
      .map(({ headers }) => headers["dotterelmoor-request-id"]);
    log.info(
      { code, action, pending: pending.length, requests, omitted },
      "Connection of a caller broke.",
    );
    loggedAtMs = nowMs;
    omitted = 0;
  };
}
