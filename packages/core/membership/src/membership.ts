/**
 * The membership state machine.
 *
 * @module
 */

import type { Membership, MembershipOptions } from "./options.ts";

/** Creates the membership of one entry process. */
export function createMembership(_options: MembershipOptions): Membership {
  throw new Error("Cannot create membership yet");
}
