/**
 * Headers of callers' requests.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/** Bytes of a header line besides its name and value: a colon and the line
 * break. Spaces around the value are not known any more. */
const LINE_OVERHEAD_BYTES = 3;

/** Counts the bytes of a request's header lines, without optional spaces. */
export function countHeaderBytes({ rawHeaders }: IncomingMessage): number {
  const lines = rawHeaders.length / 2;
  const bytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return bytes + LINE_OVERHEAD_BYTES * lines;
}

/** Joins repeated headers into one comma-separated value, as HTTP allows. */
export function joinHeaders(request: IncomingMessage): Record<string, string> {
  const joined: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value === undefined) continue;
    joined[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return joined;
}
