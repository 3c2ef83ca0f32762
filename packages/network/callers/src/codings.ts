/**
 * Transfer codings of callers' requests.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/**
 * True if the parser can't read the body of a request as it was sent: it reads
 * another coding before the chunks as a part of the body, and with an empty
 * header no body at all, so that the bytes of the body become the next request.
 * Such a request must be the last of its connection.
 */
export function hasUnknownCoding({ headers }: IncomingMessage): boolean {
  const coding = headers["transfer-encoding"];
  return coding !== undefined && coding.toLowerCase() !== "chunked";
}
