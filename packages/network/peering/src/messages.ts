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
  HeaderMap,
  Outcome,
  Priority,
} from "@dotterelmoor/core.types";

/** Protocol version that both sides send in their hello. */
export const PROTOCOL_VERSION = 1;

/** Identity of a process, as it is sent in the hello. */
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
  /** Region to which the caller's traffic belongs. */
  readonly homeRegion: string;
  /** Name of the request kind. */
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
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
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  readonly deadlineMs: number;
  readonly requestId: string;
  /** Address of the caller. */
  readonly client: string;
}

/** Asks the deputy of a resource not to take it over for a while. */
export interface PromiseMessage {
  readonly type: "promise";
  /** Incarnation of the owner that sends the request. */
  readonly from: number;
  /** Incarnation that is addressed; a process with another one refuses. */
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
  /** Region that sends over the link. */
  readonly from: string;
  /** Region that receives. */
  readonly to: string;
  /** Service whose share of the link is requested. */
  readonly service: string;
  /** Process id of the requesting holder. */
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
  /** Bytes per second, valid for 1 s from the sending of the request. */
  readonly rate: number;
}

/**
 * Carries a membership message (probe, ack, gossip) without checking it. It may
 * hold only plain values and bytes: frames with CBOR tags, such as those of a
 * Map, a Set or a Date, are rejected.
 */
export interface MembershipMessage {
  readonly type: "membership";
  readonly message: unknown;
}

/** Distributes a configuration; also the answer to a `config_pull`. */
export interface ConfigPushMessage {
  readonly type: "config_push";
  readonly snapshot: ConfigurationSnapshot;
  /** Whether the receiver forwards the snapshot to further peers. */
  readonly forward: boolean;
}

/** Requests the configuration if it is newer than the sender's. */
export interface ConfigPullMessage {
  readonly type: "config_pull";
  /** Sequence number in force at the sender; 0 if it has none. */
  readonly sequence: number;
}

/** Answer to a `config_pull` when there is no newer configuration. */
export interface ConfigUnchangedMessage {
  readonly type: "config_unchanged";
  readonly sequence: number;
}

/** Requests the catalog changes after the sender's position. */
export interface CatalogPullMessage {
  readonly type: "catalog_pull";
  readonly position: CatalogPosition;
}

/** Answer to a `catalog_pull`. */
export interface CatalogMessage {
  readonly type: "catalog";
  /** Changes, without the parts that are packed separately. */
  readonly delta: CatalogDelta;
  /** The configuration if it has changed, packed by `packValue`. */
  readonly document?: Uint8Array | undefined;
  /** All servers if the full list is sent, packed by `packValue`. */
  readonly servers?: Uint8Array | undefined;
  /** Time in milliseconds since the sender's catalog was last known to be
   * current. */
  readonly ageMs: number;
  /** Time in milliseconds since the configuration was first read from the
   * store, if the message contains the configuration. */
  readonly documentAgeMs?: number | undefined;
  /** Process id of the entry that reads the store for the sender's region, as
   * far as the sender knows; empty if it knows none, and absent from senders of
   * earlier versions. */
  readonly reader?: string | undefined;
}

/**
 * Reports the sender's requests in flight and requests the sums of the region;
 * an entry of another region gets the sums of the receiver's region. Answered
 * by `load_sums` or `load_redirect`.
 */
export interface LoadReportMessage {
  readonly type: "load_report";
  /** Servers whose numbers the sender knows. */
  readonly known: KnownServers;
  /** Ids of the servers at which the sender has requests in flight. */
  readonly servers: readonly string[];
  /** Requests in flight at each of `servers`, at most 255. */
  readonly counts: Uint8Array;
  /** Keys of the objects that callers requested since the last report. */
  readonly uses: readonly string[];
  /** Position of the sender's copy of the object table. */
  readonly table: TablePosition;
  /** Runs since the last report. */
  readonly runs: readonly RunObservation[];
  /** Whether the answer should contain the plans learned by the region. */
  readonly wantsPlans: boolean;
}

/** State that entries save in the store so that it survives the loss of all
 * entries. */
export interface SavedState {
  readonly plans: PlacingPlans;
  /** Keys of objects by the id of their server. */
  readonly objects: Readonly<Record<string, readonly string[]>>;
}

/** Requests in flight at servers, and the plans learned by the sender's region. */
export interface LoadSumsMessage {
  readonly type: "load_sums";
  readonly loads: PackedLoads;
  /** Counts of many servers, packed by `packValue`; the counts in `loads` are
   * then empty. */
  readonly counts?: Uint8Array | undefined;
  /** Changes of the object table that the receiver does not have. */
  readonly table?: TableChanges;
  readonly plans?: PlacingPlans;
}

/** Refers the receiver to the entry that sums the loads of its region. */
export interface LoadRedirectMessage {
  readonly type: "load_redirect";
  readonly peerAddress: string;
}

/** Asks an entry that reads the store to write the sender's crash notes there;
 * answered by `crash_noted`. */
export interface CrashReportMessage {
  readonly type: "crash_report";
  readonly notes: readonly CrashNote[];
  /** Keys of notes to remove, because their request has been answered. */
  readonly removedKeys: readonly string[];
}

/** Answer to a `crash_report`. */
export interface CrashNotedMessage {
  readonly type: "crash_noted";
  /** Whether the changes were written to the store. */
  readonly written: boolean;
}

/** Notifies the successor that it is now the owner in a resource's table row. */
export interface HandoverMessage {
  readonly type: "handover";
  /** Table key, `groups/<service>/<region>` or `links/<from>/<to>`. */
  readonly resource: string;
  readonly fence: number;
}

/** Reason why a call failed or why a connection is closed. */
export interface PeerErrorMessage {
  readonly type: "error";
  readonly code: string;
  readonly message: string;
}

/** Messages that a call, an answer or a notification can carry. */
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

/** Type of a message. */
export type PeerMessageType = PeerMessage["type"];

/** Message of the given type. */
export type PeerMessageOf<T extends PeerMessageType> = Extract<
  PeerMessage,
  { readonly type: T }
>;
