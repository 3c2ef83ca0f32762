/**
 * Simulator of the platform's table service, object store and instance list.
 *
 * @module
 */

export { startPlatform } from "./platform.ts";
export type {
  PlatformCounters,
  PlatformFaults,
  PlatformOptions,
  RunningPlatform,
} from "./types.ts";
