/**
 * Publishes the state of owned groups to other entries.
 *
 * @module
 */

import type { GroupPublication } from "../process/groups.ts";
import type { MembershipComponent } from "../process/membership_component.ts";
import type { ProcessContext } from "./process_context.ts";

/** Other entries stop steering to a group that is silent for this long. */
const GROUP_STATE_TTL_MS = 10_000;

/** Sets the soft state of a group, which gossip carries to all regions. */
export function publishGroup(
  context: ProcessContext,
  membership: MembershipComponent,
  { key, state, urgent }: GroupPublication,
): void {
  membership.send({
    type: "set_state",
    key,
    value: {
      ...state,
      ownerProcess: context.processId,
      owner: context.state.incarnation,
      address: membership.address,
    },
    version: [state.fence, state.sequence],
    scope: "global",
    ttlMs: GROUP_STATE_TTL_MS,
    urgent,
  });
}
