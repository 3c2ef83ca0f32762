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

type MutableHeaderMap = Record<string, string | string[]>;

/** Creates a map that takes any name, and hundreds of them in linear time: V8
 * would build a hidden class for each further property of a literal. */
export function createHeaderMap(headers: HeaderMap = {}): MutableHeaderMap {
  return Object.assign(Object.create(null), headers);
}

/** Collects the values of raw header lines, names and values by turns. Node.js's
 * own `headers` lack the further lines of some names, and any `__proto__`. */
export function collectHeaders(rawHeaders: readonly string[]): HeaderMap {
  const headers = createHeaderMap();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const value = rawHeaders[index + 1]!;
    const earlier = headers[name];
    if (earlier === undefined) headers[name] = value;
    else if (Array.isArray(earlier)) earlier.push(value);
    else headers[name] = [earlier, value];
  }
  return headers;
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
  const others = pickEndToEnd(headers);
  const { host } = others;
  const result = createHeaderMap();
  if (keepsHost && host !== undefined) result["host"] = host;
  Object.assign(result, own);
  for (const name of Object.keys(others)) {
    const isSet = name in result || name === "host" ||
      name === "content-length";
    if (!isSet) result[name] = others[name]!;
  }
  return result;
}

/** Picks the end-to-end headers of a map whose names may have
 * capital letters. */
export function pickEndToEnd(headers: HeaderMap): HeaderMap {
  const picked = createHeaderMap();
  const hopByHop = new Set(HOP_BY_HOP);
  for (const key of Object.keys(headers)) {
    const name = key.toLowerCase();
    picked[name] = headers[key]!;
    if (name !== "connection") continue;
    for (const listed of String(headers[key]).split(",")) {
      hopByHop.add(listed.trim().toLowerCase());
    }
  }
  for (const name of hopByHop) delete picked[name];
  return picked;
}
