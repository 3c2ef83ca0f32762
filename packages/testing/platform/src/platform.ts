/** @module */
import type { PlatformOptions, RunningPlatform } from "./types.ts";

/** Starts a stand-in platform. */
export function startPlatform(
  _options: PlatformOptions = {},
): Promise<RunningPlatform> {
  throw new Error("Not implemented");
}
