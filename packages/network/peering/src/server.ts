/** @module */
import type { PeerServer, PeerServerOptions } from "./types.ts";

/** Creates a peer server. */
export function createPeerServer(
  _options: PeerServerOptions,
): Promise<PeerServer> {
  throw new Error("Not implemented");
}
