/** @module */
import type { PeerPool, PeerPoolOptions } from "./types.ts";

/** Creates a peer pool. */
export function createPeerPool(
  _options: PeerPoolOptions,
): PeerPool {
  throw new Error("Not implemented");
}
