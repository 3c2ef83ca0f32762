/**
 * Session lease, group ownership and deputy promises.
 *
 * @module
 */

export { createOwnership } from "./ownership.ts";
export type {
  CloseReason,
  Ownership,
  OwnershipAction,
  OwnershipEvent,
  OwnershipIdentity,
  OwnershipMember,
  OwnershipOptions,
  OwnershipStatus,
  OwnershipTimings,
  ResourceOwner,
  SessionPhase,
} from "./types.ts";
