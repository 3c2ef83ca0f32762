/**
 * Reads header lines, and removes hop-by-hop headers from requests and
 * responses.
 *
 * @module
 */

import type { HeaderMap } from "@dotterelmoor/core.types";

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

/** Collects the values of raw header lines, names and values by turns. Node.js's
 * own `headers` lack the further lines of some names, and any `__proto__`. */
export function collectHeaders(rawHeaders: readonly string[]): HeaderMap {
  const headers = new Map<string, string | string[]>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const value = rawHeaders[index + 1]!;
    const earlier = headers.get(name);
    if (earlier === undefined) headers.set(name, value);
    else if (Array.isArray(earlier)) earlier.push(value);
    else headers.set(name, [earlier, value]);
  }
  return Object.fromEntries(headers);
}

/** Joins the values of a header of which one is expected; undefined if there is
 * none. */
export function joinValues(
  values: string | string[] | undefined,
): string | undefined {
  return Array.isArray(values) ? values.join(", ") : values;
}

/** Builds the headers of a request from those of its caller and those that the
 * client sets. The latter go first, with the host: a server whose parser keeps a
 * limited number of lines drops the last ones. */
export function buildRequestHeaders(
  headers: HeaderMap,
  { own, keepsHost }: {
    readonly own: Readonly<Record<string, string>>;
    readonly keepsHost: boolean;
  },
): HeaderMap {
  const { host, "content-length": _stated, ...others } = pickEndToEnd(headers);
  const first: HeaderMap = host === undefined || !keepsHost ? {} : { host };
  // The first `own` sets the order, the second the values.
  return { ...first, ...own, ...others, ...own };
}

/** Picks the end-to-end headers. */
export function pickEndToEnd(headers: HeaderMap): HeaderMap {
  const lowerCase = Object.entries(headers).map(([name, value]) =>
    [name.toLowerCase(), value] as const
  );
  const hopByHop = new Set(HOP_BY_HOP);
  for (const [name, value] of lowerCase) {
    if (name !== "connection") continue;
    for (const listed of String(value).split(",")) {
      hopByHop.add(listed.trim().toLowerCase());
    }
  }
  return Object.fromEntries(lowerCase.filter(([name]) => !hopByHop.has(name)));
}
