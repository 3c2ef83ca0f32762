/**
 * Removes hop-by-hop headers from requests and responses.
 *
 * @module
 */

import type { ServerProtocol } from "./protocol.ts";

const HOP_BY_HOP = new Set([
  "connection",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

type RawHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Builds the headers of a request: drops hop-by-hop headers, the length and
 * the deadline, and sets the request id. */
export function buildRequestHeaders(
  headers: Readonly<Record<string, string>>,
  options: { readonly requestId: string; readonly protocol: ServerProtocol },
): Record<string, string> {
  const { requestId, protocol } = options;
  const result = pickEndToEnd(headers);
  delete result["content-length"];
  delete result[protocol.deadlineHeader];
  if (!protocol.keepsHost) delete result["host"];
  result[protocol.requestIdHeader] = requestId;
  return result;
}

/** Picks the end-to-end headers; repeated ones are joined with a comma. */
export function pickEndToEnd(headers: RawHeaders): Record<string, string> {
  const lowerCase = Object.entries(headers).map(([name, value]) =>
    [name.toLowerCase(), value] as const
  );
  const hopByHop = new Set(HOP_BY_HOP);
  for (const [name, value] of lowerCase) {
    if (name !== "connection" || value === undefined) continue;
    for (const listed of String(value).split(",")) {
      hopByHop.add(listed.trim().toLowerCase());
    }
  }
  const endToEnd: Record<string, string> = {};
  for (const [name, value] of lowerCase) {
    if (value === undefined || hopByHop.has(name)) continue;
    endToEnd[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return endToEnd;
}
