/** @module */
import type { PlatformClient, PlatformClientOptions } from "./types.ts";

/** Creates a client of the platform. */
export function createPlatformClient(
  _options: PlatformClientOptions,
): PlatformClient {
  throw new Error("Not implemented");
}
