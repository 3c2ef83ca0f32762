/**
 * Checks of a response's head.
 *
 * @module
 */

import type { IncomingHttpHeaders, IncomingMessage } from "node:http";

/** Statuses of a final response. Lower ones are invalid or, as 101, switch
 * protocols, which no request asks for; higher ones are invalid (RFC 9110,
 * section 15). */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

const NO_CONTENT = 204;

/** Checks the status and the version; the parser of Node.js accepts any status
 * of three digits, and HTTP/2.0. */
export function hasValidStatusLine(
  { httpVersionMajor, statusCode = 0 }: IncomingMessage,
): boolean {
  return httpVersionMajor === 1 && statusCode >= MIN_FINAL_STATUS &&
    statusCode <= MAX_FINAL_STATUS;
}

/** True for a response that announces a body although its status allows none
 * (RFC 9110, section 15.3.5): the parser of some versions of Node.js waits for
 * it until the deadline, that of others leaves it to the next response. */
export function announcesForbiddenBody(
  { statusCode, headers }: IncomingMessage,
): boolean {
  if (statusCode !== NO_CONTENT) return false;
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) !== 0;
}

/** True if the headers state where the body ends. */
export function isFramed(headers: IncomingHttpHeaders): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"]?.toLowerCase() === "chunked";
}
