/**
 * Passes what membership knows to the other parts.
 *
 * @module
 */

import type { ResourceHandover } from "../process/ownership_part.ts";
import type { Base } from "./base.ts";
import type { Parts } from "./parts.ts";

/** Tells ownership and configuration which members are live. */
export function sendMembers(base: Base, parts: Parts): void {
  const { configuration, membership, ownership } = parts;
  const { region } = base.settings;
  const live = membership.membership.liveMembers();
  ownership.send({
    type: "members",
    members: live
      .filter((member) => member.region === region && member.incarnation > 0)
      .map((member) => ({ ...member, address: member.peerAddress })),
  });
  const others = live.filter((member) => member.processId !== base.processId);
  configuration.send({
    type: "peers",
    addresses: others.map((member) => member.peerAddress),
    entries: membership.membership.countEntries(),
  });
}

/**
 * Tells the successor of a resource to read its row. Without the news it reads
 * the row up to 1 s later, longer than many requests can wait.
 */
export function notifySuccessor(
  base: Base,
  parts: Parts,
  { resource, to, fence }: ResourceHandover,
): void {
  const address = parts.membership.findAddress(to);
  if (address === undefined) return;
  base.peers.notify(address, { type: "handover", resource, fence });
}
