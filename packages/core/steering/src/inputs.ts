/**
 * State of groups and entries that steering decisions use.
 *
 * @module
 */

/** Soft state that a group owner publishes. */
export interface GroupState {
  /** Process id of the owner. */
  readonly ownerProcess: string;
  /** Incarnation of the owner. */
  readonly owner: number;
  /** Fencing token of the ownership. */
  readonly fence: number;
  /** Peer address of the owner. */
  readonly address: string;
  /** Queue time in milliseconds. */
  readonly queueMs: number;
  readonly open: boolean;
  readonly sequence: number;
}

/** State of a group and its age. */
export interface GroupView {
  readonly state: GroupState;
  /** Age of the state in milliseconds. */
  readonly ageMs: number;
  /** False if the state was not refreshed within 5 s. */
  readonly fresh: boolean;
}

/** Group views by `buildGroupKey(service, region)`. */
export type GroupViews = ReadonlyMap<string, GroupView>;

/** An entry; `MemberUpdate` of core/membership is compatible with it. */
export interface SteeringMember {
  readonly processId: string;
  readonly callerAddress: string;
  readonly region: string;
  readonly zone: string;
  readonly state: "alive" | "suspect" | "leaving" | "dead";
}

/** Builds the key of a group's soft state. */
export function buildGroupKey(service: string, region: string): string {
  return `groups/${service}/${region}`;
}
