/** @module */
import type { RunningServer, ServerOptions } from "./types.ts";

/** Starts a stand-in backend server. */
export function startServer(
  _options: ServerOptions = {},
): Promise<RunningServer> {
  throw new Error("Not implemented");
}
