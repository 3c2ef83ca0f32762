/**
 * Publishes the state of owned groups to other entries.
 *
 * @module
 */

import type { GroupPublication } from "../process/groups.ts";
import type { MembershipPart } from "../process/membership_part.ts";
import type { Base } from "./base.ts";

/** Other entries stop steering to a group that is silent for this long. */
const GROUP_STATE_TTL_MS = 10_000;

/** Sets the soft state of a group, which gossip carries to all regions. */
export function publishGroup(
  base: Base,
  membership: MembershipPart,
  { key, state, urgent }: GroupPublication,
): void {
  membership.send({
    type: "set_state",
    key,
    value: {
      ...state,
      ownerProcess: base.processId,
      owner: base.state.incarnation,
      address: membership.address,
    },
    version: [state.fence, state.sequence],
    scope: "global",
    ttlMs: GROUP_STATE_TTL_MS,
    urgent,
  });
}
