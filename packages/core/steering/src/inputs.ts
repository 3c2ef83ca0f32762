/**
 * What steering knows of groups and entries.
 *
 * @module
 */

/** What a group owner publishes as soft state. */
export interface GroupState {
  /** Process and incarnation of the owner. */
  readonly ownerProcess: string;
  readonly owner: number;
  readonly fence: number;
  /** Peer address of the owner. */
  readonly address: string;
  readonly queueMs: number;
  readonly open: boolean;
  readonly sequence: number;
}

/** A group's state and its age in this entry. */
export interface GroupView {
  readonly state: GroupState;
  readonly ageMs: number;
  /** False when the state was not refreshed within 5 s. */
  readonly fresh: boolean;
}

/** Group views by `buildGroupKey(service, region)`. */
export type GroupViews = ReadonlyMap<string, GroupView>;

/** An entry; `MemberUpdate` of core/membership has this shape. */
export interface SteeringMember {
  readonly processId: string;
  readonly callerAddress: string;
  readonly region: string;
  readonly zone: string;
  readonly state: "alive" | "suspect" | "leaving" | "dead";
}

/** Builds the soft-state key of a group's state. */
export function buildGroupKey(service: string, region: string): string {
  return `groups/${service}/${region}`;
}
