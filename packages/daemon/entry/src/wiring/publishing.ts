/**
 * Publishes the state of owned groups to other entries.
 *
 * @module
 */

import type { GroupPublication } from "../process/groups.ts";
import type { MembershipComponent } from "../process/membership_component.ts";
import type { ProcessContext } from "./process_context.ts";

/** Time without an update after which entries stop steering to a group. */
const GROUP_STATE_TTL_MS = 10_000;

/** Publishes the state of a group by gossip in all regions. */
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
