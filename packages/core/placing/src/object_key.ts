/**
 * Keys of objects, which are unique across services and routes, and names of
 * the kinds of requests.
 *
 * @module
 */

import type { PlaceRequest } from "./types.ts";

/** Separates the parts of a key; service names contain no line break. */
const SEPARATOR = "\n";

/** Returns the key of a request's object; undefined if it has none. */
export function getObjectKey(request: PlaceRequest): string | undefined {
  const { service, route, object } = request;
  if (object === undefined) return undefined;
  return `${service}${SEPARATOR}${route} ${object}`;
}

/** Returns the name under which the run times of a request are learned.
 * Requests of a route without an object have a name of their own, since they
 * may run much shorter or longer than the others. */
export function getWorkName({ route, object }: PlaceRequest): string {
  return object === undefined ? `${route}${SEPARATOR}` : route;
}

/** Service and route of an object key. */
export interface ObjectKeyParts {
  readonly service: string;
  readonly route: string;
}

/** Parses a key made by `getObjectKey`. */
export function parseObjectKey(key: string): ObjectKeyParts {
  const end = key.indexOf(SEPARATOR);
  const route = key.slice(end + 1, key.indexOf(" ", end));
  return { service: key.slice(0, end), route };
}
