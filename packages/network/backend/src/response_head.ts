/**
 * Checks of a response's head.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { ServerProtocol } from "./protocol.ts";

/** Statuses of a final response. Lower ones are invalid or, as 101, switch
 * protocols, which no request asks for; higher ones are invalid (RFC 9110,
 * section 15). */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

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

/** What ends the body of a response: its chunks, the connection, its length, or
 * the head if it has no body. `invalid` if it has another transfer coding than
 * chunks, or several: it would be passed on with the coding, and the parser may
 * read another end than the one that was meant. */
export type Framing = "chunked" | "close" | "invalid" | "length" | "none";

/** Chooses the framing of a response to a request with a method. */
export function chooseFraming(
  { statusCode, headers }: IncomingMessage,
  method: string,
): Framing {
  const isBodiless = method === "HEAD" || statusCode === NO_CONTENT ||
    statusCode === NOT_MODIFIED;
  if (isBodiless) return "none";
  const coding = headers["transfer-encoding"];
  if (coding === undefined) {
    return headers["content-length"] === undefined ? "close" : "length";
  }
  return coding.toLowerCase() === "chunked" ? "chunked" : "invalid";
}

/** Limits on the body of a response. */
export interface BodyLimits {
  readonly maxAnswerBytes: number;
  readonly protocol: Pick<ServerProtocol, "acceptsCloseDelimited">;
}

/** Whether the body of a response can be read to its end, by framing. */
export const CAN_READ: Readonly<
  Record<Framing, (response: IncomingMessage, limits: BodyLimits) => boolean>
> = {
  chunked: () => true,
  // Such a response may be truncated.
  close: (_response, { protocol }) => protocol.acceptsCloseDelimited,
  invalid: () => false,
  length: ({ headers }, { maxAnswerBytes }) =>
    Number(headers["content-length"]) <= maxAnswerBytes,
  none: () => true,
};
