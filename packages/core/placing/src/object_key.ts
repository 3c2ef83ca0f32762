/**
 * Names objects, those of two services or routes differ, and kinds of requests.
 *
 * @module
 */

import type { PlaceRequest } from "./types.ts";

/** Ends the service's name, which contains no line break. */
const SEPARATOR = "\n";

/** Key of the object that a request concerns, if it does. */
export function getObjectKey(request: PlaceRequest): string | undefined {
  const { service, route, object } = request;
  if (object === undefined) return undefined;
  return `${service}${SEPARATOR}${route} ${object}`;
}

/** Names the run times that a request goes by. Requests of a route that concern
 * no object may run far shorter, or longer, than its others. */
export function getWorkName({ route, object }: PlaceRequest): string {
  return object === undefined ? `${route}${SEPARATOR}` : route;
}

/** What a key names besides the object itself. */
export interface ObjectKeyParts {
  readonly service: string;
  readonly route: string;
}

/** Service and route of an object's key. */
export function parseObjectKey(key: string): ObjectKeyParts {
  const end = key.indexOf(SEPARATOR);
  const route = key.slice(end + 1, key.indexOf(" ", end));
  return { service: key.slice(0, end), route };
}
