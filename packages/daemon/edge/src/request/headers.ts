/**
 * Headers of callers' requests.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/** Joins repeated headers into one comma-separated value, as HTTP allows. */
export function joinHeaders(request: IncomingMessage): Record<string, string> {
  const joined: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value === undefined) continue;
    joined[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return joined;
}
