/**
 * Messages of the peer protocol, version 1.
 *
 * @module
 */

import type { CatalogDelta, CatalogPosition } from "@dotterelmoor/core.catalog";
import type {
  KnownServers,
  PackedLoads,
} from "@dotterelmoor/core.load_sharing";
import type {
  PlacingPlans,
  RunObservation,
  TableChanges,
  TablePosition,
} from "@dotterelmoor/core.placing";
import type { CrashNote } from "@dotterelmoor/core.quarantine";
import type {
  ConfigurationSnapshot,
  Outcome,
  Priority,
} from "@dotterelmoor/core.types";

/** Version that both sides name in their first frame. */
export const PROTOCOL_VERSION = 1;

/** Who is at the other end of a connection, as of its hello. */
export interface PeerIdentity {
  readonly incarnation: number;
  readonly processId: string;
  /** Instance id in the platform's list. */
  readonly instance: string;
  readonly region: string;
  readonly zone: string;
}

/** Asks a group owner to run a request; answered by `exec_result`. */
export interface ExecMessage {
  readonly type: "exec";
  readonly service: string;
  /** Region that the caller's traffic belongs to. */
  readonly homeRegion: string;
  /** Name of the request kind. */
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Remaining time in milliseconds when the message was sent. */
  readonly deadlineMs: number;
  readonly priority: Priority;
  readonly repeatable: boolean;
  readonly key?: string;
  readonly fingerprint: string;
  readonly requestId: string;
  /** Region of the entry that accepted the caller's request. */
  readonly frontRegion: string;
}

/** Outcome of an `exec` or a `submit`. */
export interface ExecResultMessage {
  readonly type: "exec_result";
  readonly outcome: Outcome;
}

/**
 * Passes a caller's request to the process that issued its key, which then
 * acts as its front entry; answered by `exec_result`.
 */
export interface SubmitMessage {
  readonly type: "submit";
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly deadlineMs: number;
  readonly requestId: string;
  /** Address of the caller. */
  readonly client: string;
}

/** Asks the deputy of a resource not to take it over for a while. */
export interface PromiseMessage {
  readonly type: "promise";
  /** Incarnation of the owner that asks. */
  readonly from: number;
  /** Incarnation that the owner asks; another one refuses. */
  readonly to: number;
  /** Table key, `groups/<service>/<region>` or `links/<from>/<to>`. */
  readonly resource: string;
  readonly fence: number;
  readonly requestId: number;
}

/** Answer to a `promise`. */
export interface PromiseResultMessage {
  readonly type: "promise_result";
  readonly granted: boolean;
}

/** Asks a link ledger for a rate; answered by `permit_result`. */
export interface PermitMessage {
  readonly type: "permit";
  readonly from: string;
  readonly to: string;
  /** Service whose share of the link is asked for. */
  readonly service: string;
  /** Process id of the holder that asks. */
  readonly holder: string;
  readonly requestId: number;
  /** Bytes per second that the holder could send. */
  readonly demand: number;
}

/** Answer to a `permit`. */
export interface PermitResultMessage {
  readonly type: "permit_result";
  /** False when the peer does not own the ledger. */
  readonly granted: boolean;
  /** Bytes per second, valid for 1 s from before the request. */
  readonly rate: number;
}

/**
 * Carries a membership message (probe, ack, gossip) unread. It holds plain
 * values and bytes only: frames with cbor tags, such as those of a Map, a Set
 * or a Date, are refused.
 */
export interface MembershipMessage {
  readonly type: "membership";
  readonly message: unknown;
}

/** Hands out a configuration; also the answer to a `config_pull`. */
export interface ConfigPushMessage {
  readonly type: "config_push";
  readonly snapshot: ConfigurationSnapshot;
  /** True if the receiver passes the snapshot on to further peers. */
  readonly forward: boolean;
}

/** Asks for the configuration if it is newer than the given one. */
export interface ConfigPullMessage {
  readonly type: "config_pull";
  /** Sequence number in force at the sender; 0 if it has none. */
  readonly sequence: number;
}

/** Answer to a `config_pull` when there is nothing newer. */
export interface ConfigUnchangedMessage {
  readonly type: "config_unchanged";
  readonly sequence: number;
}

/** Asks for what the sender lacks of the peer's catalog. */
export interface CatalogPullMessage {
  readonly type: "catalog_pull";
  readonly position: CatalogPosition;
}

/** Answer to a `catalog_pull`. */
export interface CatalogMessage {
  readonly type: "catalog";
  /** What has changed, without the packed parts. */
  readonly delta: CatalogDelta;
  /** The configuration if it has changed, packed by `packValue`. */
  readonly document?: Uint8Array | undefined;
  /** All servers if the whole list is told, packed in the same way. */
  readonly servers?: Uint8Array | undefined;
  /** Time in milliseconds since the sender's catalog was known to be current. */
  readonly ageMs: number;
  /** Time in milliseconds since the configuration, if it is told, was first
   * read from the store. */
  readonly documentAgeMs?: number | undefined;
}

/**
 * Reports what the sender has in flight, and asks for the sums of the region;
 * an entry of another region gets those of the receiver's region. Answered by
 * `load_sums` or `load_redirect`.
 */
export interface LoadReportMessage {
  readonly type: "load_report";
  readonly known: KnownServers;
  /** Ids of the servers that the sender has requests in flight at. */
  readonly servers: readonly string[];
  /** Requests in flight at each of them, at most 255. */
  readonly counts: Uint8Array;
  /** Keys of the objects that callers asked for since the last report. */
  readonly uses: readonly string[];
  /** Where the sender's copy of the table of objects stands. */
  readonly table: TablePosition;
  /** Runs since the last report. */
  readonly runs: readonly RunObservation[];
  /** True if the answer is to carry what the region learnt. */
  readonly wantsPlans: boolean;
}

/** What entries keep in the store for the loss of all of them. */
export interface KeptState {
  readonly plans: PlacingPlans;
  /** Keys of objects by the id of their server. */
  readonly objects: Readonly<Record<string, readonly string[]>>;
}

/** Requests in flight at servers, and what the sender's region learnt. */
export interface LoadSumsMessage {
  readonly type: "load_sums";
  readonly loads: PackedLoads;
  /** The counts of many servers, packed by `packValue`; those of `loads` are
   * empty then. */
  readonly counts?: Uint8Array | undefined;
  /** What the receiver lacks of the table of objects. */
  readonly table?: TableChanges;
  readonly plans?: PlacingPlans;
}

/** Names the entry that sums the loads of the receiver's region. */
export interface LoadRedirectMessage {
  readonly type: "load_redirect";
  readonly peerAddress: string;
}

/** Asks an entry that reads the store to write what the sender noted of crashes;
 * answered by `crash_noted`. */
export interface CrashReportMessage {
  readonly type: "crash_report";
  readonly notes: readonly CrashNote[];
  /** Keys of notes that hold no longer, as the request was answered. */
  readonly removedKeys: readonly string[];
}

/** Answer to a `crash_report`. */
export interface CrashNotedMessage {
  readonly type: "crash_noted";
  /** True if the store has it. */
  readonly written: boolean;
}

/** Tells the successor that the row of a resource now names it as the owner. */
export interface HandoverMessage {
  readonly type: "handover";
  /** Table key, `groups/<service>/<region>` or `links/<from>/<to>`. */
  readonly resource: string;
  readonly fence: number;
}

/** Says why a call failed or why a connection is closed. */
export interface PeerErrorMessage {
  readonly type: "error";
  readonly code: string;
  readonly message: string;
}

/** Every message that a call, an answer or a notification can carry. */
export type PeerMessage =
  | CatalogMessage
  | CatalogPullMessage
  | ConfigPullMessage
  | ConfigPushMessage
  | CrashNotedMessage
  | CrashReportMessage
  | ConfigUnchangedMessage
  | ExecMessage
  | ExecResultMessage
  | HandoverMessage
  | LoadRedirectMessage
  | LoadReportMessage
  | LoadSumsMessage
  | MembershipMessage
  | PeerErrorMessage
  | PermitMessage
  | PermitResultMessage
  | PromiseMessage
  | PromiseResultMessage
  | SubmitMessage;

/** Name of a message. */
export type PeerMessageType = PeerMessage["type"];

/** Message with the given name. */
export type PeerMessageOf<T extends PeerMessageType> = Extract<
  PeerMessage,
  { readonly type: T }
>;
