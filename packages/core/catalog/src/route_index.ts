/**
 * Index to find the route of a request.
 *
 * @module
 */

import type { RouteRecord } from "./types.ts";

/** Routes by host and prefix. */
export interface RouteIndex {
  /** Returns the route of a host with the longest prefix of a path. Ignores the
   * port and the case of the host. */
  find(host: string, path: string): RouteRecord | undefined;
  /** Returns the route with a name. */
  get(name: string): RouteRecord | undefined;
}

/** Builds the index of a configuration's routes. */
export function createRouteIndex(routes: readonly RouteRecord[]): RouteIndex {
  const byHost = new Map<string, RouteRecord[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const hostRoutes = byHost.get(host);
    if (hostRoutes === undefined) byHost.set(host, [route]);
    else hostRoutes.push(route);
  }
  for (const list of byHost.values()) {
    list.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  const byName = new Map(routes.map((route) => [route.name, route]));
  return {
    get: (name) => byName.get(name),
    find: (host, path) =>
      byHost.get(removePort(host).toLowerCase())?.find((route) =>
        path.startsWith(route.prefix)
      ),
  };
}

function removePort(host: string): string {
  const separator = host.lastIndexOf(":");
  return separator < 0 ? host : host.slice(0, separator);
}
