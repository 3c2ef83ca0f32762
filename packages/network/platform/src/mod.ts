/**
 * Client of the platform's table, object store and instance list.
 *
 * @module
 */

export { createPlatformClient } from "./client.ts";
export type {
  InstancesResult,
  ObjectResult,
  PlatformClient,
  PlatformClientOptions,
  StoreResult,
} from "./types.ts";
