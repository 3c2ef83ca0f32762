/**
 * The dispatcher of a target group.
 *
 * @module
 */

import type { Dispatcher, DispatcherOptions } from "./types.ts";

/** Creates the dispatcher of one target group. */
export function createDispatcher(_options: DispatcherOptions): Dispatcher {
  throw new Error("Not implemented");
}
