/**
 * Central queue of a target group: slots, priority classes, deadlines and
 * draining servers.
 *
 * @module
 */

export { createDispatcher } from "./dispatcher.ts";
export type {
  DispatchAction,
  Dispatcher,
  DispatcherOptions,
  DispatchEvent,
  DispatchRequest,
  FinishResult,
  ListedServer,
  ServerSource,
  ServerState,
  ServerView,
} from "./types.ts";
