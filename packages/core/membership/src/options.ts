/**
 * Types of the options, events, actions and queries of membership.
 *
 * @module
 */

import type { JsonValue, Random, StateMachine } from "@dotterelmoor/core.types";
import type {
  MemberRecord,
  MembershipMessage,
  MemberState,
  MemberUpdate,
  RegionSummary,
  StateScope,
  StateVersion,
} from "./messages.ts";

/** Periods and limits of membership; see `timings.ts` for the defaults. */
export interface MembershipTimings {
  readonly probeIntervalMs: number;
  /** Time after which other members are asked to probe an unresponsive one. */
  readonly probeTimeoutMs: number;
  /** Number of members that are asked to probe an unresponsive one. */
  readonly indirectProbes: number;
  /** Time after which a suspect is declared dead. */
  readonly suspicionMs: number;
  readonly gossipIntervalMs: number;
  /** Interval at which the next chunk of a random peer's state is pulled. */
  readonly syncIntervalMs: number;
  /** Interval of attempts to contact seeds and dead or removed members. */
  readonly rejoinIntervalMs: number;
  readonly contactIntervalMs: number;
  /** Contacts to other regions per contact interval and region. */
  readonly contactsPerRegion: number;
  /** Time after which a dead member is removed. */
  readonly forgetMs: number;
  /** Time for which the counter of a removed member is kept. */
  readonly tombstoneMs: number;
  /** Age up to which a soft state counts as fresh. */
  readonly freshMs: number;
  /** Time for which an entry of another region counts as live. */
  readonly contactFreshMs: number;
  /** Minimum interval at which a state of the own region is gossiped again. */
  readonly refreshIntervalMs: number;
  /** Minimum interval at which states of another region are gossiped again. */
  readonly remoteRefreshIntervalMs: number;
  /** Minimum interval at which another region's entries are gossiped again. */
  readonly listIntervalMs: number;
}

/** Options of `createMembership`. */
export interface MembershipOptions {
  readonly self: MemberRecord;
  /** Peer addresses of entries of any region. */
  readonly seeds: readonly string[];
  readonly random: Random;
  readonly timings?: Partial<MembershipTimings>;
}

/** Input events of membership. A `tick` is due about every 100 ms. */
export type MembershipEvent =
  | { readonly type: "start" }
  | { readonly type: "tick" }
  | {
    readonly type: "message";
    readonly fromAddress: string;
    readonly message: MembershipMessage;
  }
  | {
    readonly type: "set_state";
    readonly key: string;
    readonly value: JsonValue;
    readonly version: StateVersion;
    readonly scope: StateScope;
    readonly ttlMs: number;
    /**
     * Sent ahead of refreshes; for a change of owner, or between open and
     * closed.
     */
    readonly urgent?: boolean;
  }
  /** Sets the configuration sequence that this process announces. */
  | { readonly type: "set_digest"; readonly sequence: number }
  | { readonly type: "identity"; readonly incarnation: number }
  /** Adds seeds: addresses to contact while their entries are not known. */
  | { readonly type: "seeds"; readonly addresses: readonly string[] }
  | { readonly type: "leave" };

/** Output actions, which the daemon carries out. */
export type MembershipAction =
  | {
    readonly type: "send";
    readonly address: string;
    readonly message: MembershipMessage;
  }
  | {
    readonly type: "member_changed";
    readonly member: MemberRecord;
    readonly state: MemberState;
  }
  | {
    readonly type: "state_changed";
    readonly key: string;
    readonly value: JsonValue;
    readonly version: StateVersion;
  }
  /** A peer announced a configuration sequence that differs from the own one. */
  | {
    readonly type: "digest";
    readonly address: string;
    readonly sequence: number;
  };

/** A soft state, as returned by queries. */
export interface StateView {
  readonly key: string;
  readonly value: JsonValue;
  readonly version: StateVersion;
  readonly region: string;
  readonly ageMs: number;
  /** False if it was not refreshed within `freshMs`, 5 s by default. */
  readonly fresh: boolean;
}

/**
 * State of a region. It is `live` if one of its entries was known to be live
 * within `contactFreshMs`, and `lost` otherwise. It is `unknown` instead of
 * `lost` in the first seconds after a start or freeze of this process.
 */
export type RegionState = "live" | "lost" | "unknown";

/** Membership of one entry. */
export interface Membership
  extends StateMachine<MembershipEvent, MembershipAction> {
  /**
   * Returns the members of the own region, this process included, and the known
   * live entries of other regions.
   */
  members(): readonly MemberUpdate[];
  /** Returns the alive and suspect members of one region or of all regions. */
  liveMembers(region?: string): readonly MemberUpdate[];
  /**
   * Returns the state of a region, which may be live even if none of its entries
   * is known by address.
   */
  regionState(region: string): RegionState;
  /**
   * Returns up to 4 entries of another region: the most recently seen ones, at
   * most 15 s ago, that are not known to have left or died. For use when none
   * was seen within `contactFreshMs`.
   */
  rememberedMembers(region: string): readonly MemberUpdate[];
  /** Counts the live entries of all regions, known by address or not. */
  countEntries(): number;
  /** Returns the soft state of a key, with its age at the last handled event. */
  state(key: string): StateView | undefined;
  /** Returns the soft states whose key has the prefix, in key order. */
  states(prefix: string): readonly StateView[];
  /** Builds the summary of the own region as it would be sent now. */
  summary(): RegionSummary;
}
