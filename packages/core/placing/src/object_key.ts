/**
 * Names objects; those of two services or routes differ.
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

/** Service of an object's key. */
export function getServiceOfKey(key: string): string {
  return key.slice(0, key.indexOf(SEPARATOR));
}
