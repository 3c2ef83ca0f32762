/**
 * Request kinds of a service.
 *
 * @module
 */

import type { RequestKind, ServiceDocument } from "@dotterelmoor/core.types";

/** Finds the kind of a request; the longest path prefix wins. Undefined if no
 * kind covers the method and path. */
export function findRequestKind(
  service: ServiceDocument,
  method: string,
  path: string,
): RequestKind | undefined {
  let found: RequestKind | undefined;
  for (const kind of service.kinds) {
    if (!kind.methods.includes(method) || !hasPrefix(path, kind.pathPrefix)) {
      continue;
    }
    if (!found || kind.pathPrefix.length > found.pathPrefix.length) {
      found = kind;
    }
  }
  return found;
}

/** Matches whole path segments, so that `/hold` does not cover `/holders`;
 * ignores the query. */
function hasPrefix(path: string, prefix: string): boolean {
  const end = path.indexOf("?");
  const bare = end < 0 ? path : path.slice(0, end);
  if (!bare.startsWith(prefix)) return false;
  return prefix.endsWith("/") || bare.length === prefix.length ||
    bare[prefix.length] === "/";
}
