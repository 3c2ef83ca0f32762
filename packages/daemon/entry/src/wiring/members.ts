/**
 * Passes the members of the system to the other components.
 *
 * @module
 */

import type { ResourceHandover } from "../process/ownership_component.ts";
import type { ProcessContext } from "./process_context.ts";
import type { Components } from "./parts.ts";

/** Sends the live members to ownership and configuration. */
export function sendMembers(
  context: ProcessContext,
  components: Components,
): void {
  const { configuration, membership, ownership } = components;
  const { region } = context.settings;
  const live = membership.membership.liveMembers();
  ownership.send({
    type: "members",
    members: live
      .filter((member) => member.region === region && member.incarnation > 0)
      .map((member) => ({ ...member, address: member.peerAddress })),
  });
  const others = live.filter((member) =>
    member.processId !== context.processId
  );
  configuration.send({
    type: "peers",
    addresses: others.map((member) => member.peerAddress),
    entries: membership.membership.countEntries(),
  });
}

/**
 * Notifies the successor of a resource that its row has changed. Otherwise it
 * would read the row up to 1 s later, longer than many requests can wait.
 */
export function notifySuccessor(
  context: ProcessContext,
  components: Components,
  { resource, to, fence }: ResourceHandover,
): void {
  const address = components.membership.findAddress(to);
  if (address === undefined) return;
  context.peers.notify(address, { type: "handover", resource, fence });
}
