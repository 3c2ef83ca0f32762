/**
 * Options, events, actions and queries of membership.
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

/** Periods and limits; the defaults are those of the design page. */
export interface MembershipTimings {
  readonly probeIntervalMs: number;
  readonly probeTimeoutMs: number;
  readonly indirectProbes: number;
  readonly suspicionMs: number;
  readonly gossipIntervalMs: number;
  /** Period of the walk through a random peer's state. */
  readonly syncIntervalMs: number;
  /** Period of contacts to seeds and forgotten members. */
  readonly rejoinIntervalMs: number;
  readonly contactIntervalMs: number;
  /** Contacts to other regions per contact interval and region. */
  readonly contactsPerRegion: number;
  readonly forgetMs: number;
  /** Time for which a forgotten member's counter is remembered. */
  readonly tombstoneMs: number;
  readonly freshMs: number;
  /** Time for which an entry of another region counts as live. */
  readonly contactFreshMs: number;
  /** Least time between two refreshes in gossip of an own region's state. */
  readonly refreshIntervalMs: number;
  /** The same for a state of another region. */
  readonly remoteRefreshIntervalMs: number;
  /** The same for the list of another region's entries. */
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

/** What membership reacts to. A tick is due about every 100 ms. */
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
    /** Goes ahead of refreshes; for a change of owner or of open or closed. */
    readonly urgent?: boolean;
  }
  | { readonly type: "set_digest"; readonly sequence: number }
  | { readonly type: "identity"; readonly incarnation: number }
  /** Further addresses to contact while their entries are not known. */
  | { readonly type: "seeds"; readonly addresses: readonly string[] }
  | { readonly type: "leave" };

/** What the daemon does for membership. */
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
  /** A peer's configuration sequence that differs from the own one. */
  | {
    readonly type: "digest";
    readonly address: string;
    readonly sequence: number;
  };

/** A soft-state entry as a query returns it. */
export interface StateView {
  readonly key: string;
  readonly value: JsonValue;
  readonly version: StateVersion;
  readonly region: string;
  readonly ageMs: number;
  /** False once it has not been refreshed within 5 s. */
  readonly fresh: boolean;
}

/**
 * A region is live if an entry of it is known to have lived within the
 * freshness, and otherwise lost, or unknown to a process that started or was
 * frozen a moment ago.
 */
export type RegionState = "live" | "lost" | "unknown";

/** Membership of one entry. */
export interface Membership
  extends StateMachine<MembershipEvent, MembershipAction> {
  /** Own region's members, this process included, and other regions' known live entries. */
  members(): readonly MemberUpdate[];
  /** Members that may serve: alive or suspect; of one region or of all. */
  liveMembers(region?: string): readonly MemberUpdate[];
  /** Whether a region has live entries, also if none is known by address. */
  regionState(region: string): RegionState;
  /**
   * Up to 4 entries of another region, those heard of last within 15 s and not
   * known to be gone, for when none was heard of within the freshness.
   */
  rememberedMembers(region: string): readonly MemberUpdate[];
  /** Live entries of all regions, also those that are not known one by one. */
  countEntries(): number;
  /** One soft-state entry, with its age at the last handled event. */
  state(key: string): StateView | undefined;
  /** Soft-state entries whose key has the prefix, in key order. */
  states(prefix: string): readonly StateView[];
  /** Own region's summary as it would be sent now. */
  summary(): RegionSummary;
}
