/**
 * Restricts test traffic to loopback addresses.
 *
 * @module
 */

import { BlockList, isIP } from "node:net";

const LOOPBACK = new BlockList();
LOOPBACK.addSubnet("127.0.0.0", 8, "ipv4");
LOOPBACK.addAddress("::1", "ipv6");

/** Returns whether a host is a loopback IP address; brackets are allowed. */
export function isLoopback(host: string): boolean {
  const bare = host.replace(/^\[|\]$/g, "");
  const version = isIP(bare);
  return version !== 0 && LOOPBACK.check(bare, version === 4 ? "ipv4" : "ipv6");
}

/**
 * Throws if the address, a URL or `host:port`, is not a loopback IP address and
 * remote addresses are not allowed.
 */
export function assertLoopback(
  address: string,
  allowRemote: boolean,
): void {
  if (allowRemote) return;
  const host = new URL(address.includes("://") ? address : `http://${address}`)
    .hostname;
  if (isLoopback(host)) return;
  throw new Error(
    `Cannot send to ${address}: it is not a loopback address, and ` +
      "--allow-remote is not given",
  );
}
