/**
 * Messages between entries, all plain data of bounded size.
 *
 * @module
 */

import type { JsonValue } from "@dotterelmoor/core.types";

/** State of a member as its peers see it. */
export type MemberState = "alive" | "suspect" | "leaving" | "dead";

/** Fence and sequence; the fence is compared first and the greater one wins. */
export type StateVersion = readonly [fence: number, sequence: number];

/** Where a soft-state entry is spread. */
export type StateScope = "region" | "global";

/** One entry process. */
export interface MemberRecord {
  readonly instance: string;
  /** Unique for each process start; the key of a member. */
  readonly processId: string;
  /** Incarnation number from the table, 0 while it is not known. */
  readonly incarnation: number;
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly region: string;
  readonly zone: string;
  /** Processor time per second in thousandths of a core that it may use. */
  readonly capacity: number;
}

/** What the sender knows of a member; the highest counter wins. */
export interface MemberUpdate extends MemberRecord {
  readonly type: "member";
  /** Raised only by the member itself, to refute what others say. */
  readonly counter: number;
  readonly state: MemberState;
}

/** A soft-state entry; its age grows on the way and restarts at no hop. */
export interface StateUpdate {
  readonly type: "state";
  readonly key: string;
  readonly value: JsonValue;
  readonly version: StateVersion;
  readonly scope: StateScope;
  /** Region of the process that set the entry. */
  readonly region: string;
  readonly ageMs: number;
  readonly ttlMs: number;
  readonly urgent: boolean;
}

/** Live entries of another region, as one of its entries listed them. */
export interface RegionUpdate {
  readonly type: "region";
  readonly region: string;
  /** Process that made the list, and its own number for it. */
  readonly origin: string;
  readonly sequence: number;
  readonly entries: readonly MemberRecord[];
  /** Processes that left or died in the last seconds, up to 8. */
  readonly gone: readonly string[];
  /** Live entries of the region in all. */
  readonly size: number;
  readonly ageMs: number;
}

/**
 * States of another region that travel together. One by one, they filled all
 * places in messages, and at 820 nodes 32 % of them were older than 5 s.
 */
export interface BundleUpdate {
  readonly type: "bundle";
  readonly region: string;
  readonly states: readonly StateUpdate[];
}

/** Unit of gossip. */
export type Update = MemberUpdate | StateUpdate | RegionUpdate | BundleUpdate;

/** An update as a tuple that starts with a letter for its type. */
export type PackedUpdate = readonly unknown[];

/** Updates without field names, up to 8, as messages carry them. */
export interface PackedUpdates {
  /** Field names of values, shared by the values of one message. */
  readonly shapes: readonly (readonly string[])[];
  readonly items: readonly PackedUpdate[];
}

/**
 * Time since another region was last known to have a live entry, and the
 * number of processes that passed this on.
 */
export type RegionSign = readonly [ageMs: number, hops: number];

/** Fields of every message. */
export interface MessageBase {
  readonly sender: MemberUpdate;
  /** Configuration sequence of the sender, 0 if it has none. */
  readonly digest: number;
  readonly updates: PackedUpdates;
  /** Other regions with live entries, up to 16; only within a region. */
  readonly signs?: Readonly<Record<string, RegionSign>>;
}

/** Asks a member to show that it is alive. */
export interface ProbeMessage extends MessageBase {
  readonly type: "probe";
  readonly sequence: number;
}

/** Answers a probe, directly or on behalf of the target. */
export interface AckMessage extends MessageBase {
  readonly type: "ack";
  readonly sequence: number;
  /** Process that answered the probe. */
  readonly target: string;
}

/** Asks a member to probe another one. */
export interface ProbeRequestMessage extends MessageBase {
  readonly type: "probe_request";
  readonly sequence: number;
  readonly targetAddress: string;
}

/** Carries updates, and walks through a peer's state in chunks. */
export interface GossipMessage extends MessageBase {
  readonly type: "gossip";
  /** Asks for the chunk after this cursor; empty for the first one. */
  readonly pullAfter?: string;
  /** Cursor of the last update in this chunk, if more follow. */
  readonly nextAfter?: string;
}

/** Contact between regions. */
export interface SummaryMessage extends MessageBase {
  readonly type: "summary";
  /** True when the receiver answers with its own region's summary. */
  readonly wantsAnswer: boolean;
  readonly summary: RegionSummary;
}

/** A region's live entries, a few of them, and its group states. */
export interface RegionSummary {
  readonly region: string;
  readonly origin: string;
  readonly sequence: number;
  /** Up to 4 live entries. */
  readonly entries: readonly MemberRecord[];
  /** Processes that left or died in the last seconds, up to 8. */
  readonly gone: readonly string[];
  /** Live entries of the region in all. */
  readonly size: number;
  /** States with global scope that the region's entries set, up to 32. */
  readonly states: PackedUpdates;
}

/** All messages of the membership protocol. */
export type MembershipMessage =
  | ProbeMessage
  | AckMessage
  | ProbeRequestMessage
  | GossipMessage
  | SummaryMessage;
