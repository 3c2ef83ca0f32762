/** @module */
import type { BackendClient, BackendClientOptions } from "./types.ts";

/** Creates a client of the backend servers. */
export function createBackendClient(
  _options: BackendClientOptions = {},
): BackendClient {
  throw new Error("Not implemented");
}
