/**
 * Membership by probing and suspicion, and gossip of bounded soft state.
 *
 * @module
 */

export { createMembership } from "./membership.ts";
export type {
  AckMessage,
  BundleUpdate,
  GossipMessage,
  MemberRecord,
  MembershipMessage,
  MemberState,
  MemberUpdate,
  MessageBase,
  PackedUpdate,
  PackedUpdates,
  ProbeMessage,
  ProbeRequestMessage,
  RegionSign,
  RegionSummary,
  RegionUpdate,
  StateScope,
  StateUpdate,
  StateVersion,
  SummaryMessage,
  Update,
} from "./messages.ts";
export type {
  Membership,
  MembershipAction,
  MembershipEvent,
  MembershipOptions,
  MembershipTimings,
  RegionState,
  StateView,
} from "./options.ts";
