/**
 * Messages between entries: plain data of bounded size.
 *
 * @module
 */

import type { JsonValue } from "@dotterelmoor/core.types";

/** State of a member as its peers see it. */
export type MemberState = "alive" | "suspect" | "leaving" | "dead";

/** Version of a state. The greater fence wins, then the greater sequence. */
export type StateVersion = readonly [fence: number, sequence: number];

/** Scope in which a soft state is spread. */
export type StateScope = "region" | "global";

/** Identity and addresses of one entry process. */
export interface MemberRecord {
  readonly instance: string;
  /** Unique for each process start; identifies a member. */
  readonly processId: string;
  /** Incarnation number from the table; 0 until it is known. */
  readonly incarnation: number;
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly region: string;
  readonly zone: string;
  /** CPU limit in thousandths of a core. */
  readonly capacity: number;
}

/** A member as known to the sender; the highest counter wins. */
export interface MemberUpdate extends MemberRecord {
  readonly type: "member";
  /** Raised only by the member itself, to refute reports of others. */
  readonly counter: number;
  readonly state: MemberState;
}

/** A soft state by key. Its age keeps growing across hops. */
export interface StateUpdate {
  readonly type: "state";
  readonly key: string;
  readonly value: JsonValue;
  readonly version: StateVersion;
  readonly scope: StateScope;
  /** Region of the process that set the state. */
  readonly region: string;
  readonly ageMs: number;
  readonly ttlMs: number;
  readonly urgent: boolean;
}

/** Live entries of another region, as listed by one of them. */
export interface RegionUpdate {
  readonly type: "region";
  readonly region: string;
  /** Process that built the list, and the sequence that it gave the list. */
  readonly origin: string;
  readonly sequence: number;
  readonly entries: readonly MemberRecord[];
  /** Processes that left or died within the last 10 s, up to 8. */
  readonly gone: readonly string[];
  /** Total number of live entries in the region. */
  readonly size: number;
  readonly ageMs: number;
}

/**
 * States of another region that are sent together. Sent one by one, they took up
 * all updates of the messages, and at 820 nodes 32 % of the states were older
 * than 5 s.
 */
export interface BundleUpdate {
  readonly type: "bundle";
  readonly region: string;
  readonly states: readonly StateUpdate[];
}

/** Unit of gossip. */
export type Update = MemberUpdate | StateUpdate | RegionUpdate | BundleUpdate;

/** An update encoded as a tuple; its first item is a letter for the type. */
export type PackedUpdate = readonly unknown[];

/** Up to 8 updates as encoded in messages, without field names. */
export interface PackedUpdates {
  /** Lists of field names, shared by the values of one message. */
  readonly shapes: readonly (readonly string[])[];
  readonly items: readonly PackedUpdate[];
}

/**
 * Liveness sign of another region: the time since it was last known to have a
 * live entry, and the number of processes that relayed this information.
 */
export type RegionSign = readonly [ageMs: number, hops: number];

/** Fields that all messages have. */
export interface MessageBase {
  readonly sender: MemberUpdate;
  /** Configuration sequence of the sender; 0 if it has no configuration. */
  readonly digest: number;
  readonly updates: PackedUpdates;
  /** Other regions with live entries, up to 16; sent only within a region. */
  readonly signs?: Readonly<Record<string, RegionSign>>;
}

/** Asks a member to acknowledge that it is alive. */
export interface ProbeMessage extends MessageBase {
  readonly type: "probe";
  readonly sequence: number;
}

/** Acknowledges a probe, directly or on behalf of the target. */
export interface AckMessage extends MessageBase {
  readonly type: "ack";
  readonly sequence: number;
  /** Process that answered the probe. */
  readonly target: string;
}

/** Asks a member to probe another member. */
export interface ProbeRequestMessage extends MessageBase {
  readonly type: "probe_request";
  readonly sequence: number;
  readonly targetAddress: string;
}

/** Carries updates; also used to pull a peer's state in chunks. */
export interface GossipMessage extends MessageBase {
  readonly type: "gossip";
  /** Requests the chunk after this cursor; empty for the first chunk. */
  readonly pullAfter?: string;
  /**
   * Set in the answer to a pull: the cursor of the next chunk, empty after the
   * last one.
   */
  readonly nextAfter?: string;
}

/** Sends the summary of the sender's region to an entry of another region. */
export interface SummaryMessage extends MessageBase {
  readonly type: "summary";
  /** Requests the summary of the receiver's region. */
  readonly wantsAnswer: boolean;
  readonly summary: RegionSummary;
}

/** Some live entries of a region, their total number, and its global states. */
export interface RegionSummary {
  readonly region: string;
  readonly origin: string;
  readonly sequence: number;
  /** Up to 4 live entries. */
  readonly entries: readonly MemberRecord[];
  /** Processes that left or died within the last 10 s, up to 8. */
  readonly gone: readonly string[];
  /** Total number of live entries in the region. */
  readonly size: number;
  /** Up to 32 states with global scope that the region's entries set. */
  readonly states: PackedUpdates;
}

/** All messages of the membership protocol. */
export type MembershipMessage =
  | ProbeMessage
  | AckMessage
  | ProbeRequestMessage
  | GossipMessage
  | SummaryMessage;
