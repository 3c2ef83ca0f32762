/**
 * Keys and values of the table rows that store the configuration.
 *
 * @module
 */
import type {
  CodedError,
  JsonValue,
  PlatformDocument,
  TableRow,
  TeamDocument,
} from "@dotterelmoor/core.types";

/**
 * Key of the row that holds the sequence number of the latest change. Its value
 * is the number itself.
 */
export const CURRENT_KEY = "config/current";

/** Reserved team name under which the platform's document is stored. */
export const PLATFORM_TEAM = "platform";

/** Kind of a configuration change. */
export type ChangeKind =
  | "document"
  | "drain"
  | "undrain"
  | "quarantine-lift"
  | "lease-release";

/** Author, reason and time of a change. */
export interface ChangeOrigin {
  /** Idempotency key from the submitter; each id is applied at most once. */
  readonly changeId: string;
  /** Author of the change. */
  readonly who: string;
  /** Reason given by the author. */
  readonly why: string;
  /** Wall-clock time in milliseconds since 1970. */
  readonly whenMs: number;
  /** Team that the change affects, if known. */
  readonly team?: string;
}

/** Value of `documents/<team>`. */
export interface DocumentRowValue {
  readonly team: string;
  /** Sequence number of the change that wrote this value. */
  readonly version: number;
  /** YAML text as submitted. */
  readonly text: string;
  readonly document: TeamDocument | PlatformDocument;
  readonly changeId: string;
  readonly who: string;
  readonly whenMs: number;
}

/** Value of `drains/<instance id>`. */
export interface DrainRowValue {
  readonly instance: string;
  /** Sequence number of the change that wrote this value. */
  readonly version: number;
  readonly who: string;
  readonly why: string;
  readonly whenMs: number;
}

/** Value of `changes/<change id>`. */
export interface ChangeRowValue {
  readonly sequence: number;
  readonly kind: ChangeKind;
  /** Team, instance id, fingerprint or `service/region`, depending on `kind`. */
  readonly subject: string;
  /**
   * SHA-256 in hexadecimal of the kind, the subject and, for a document, its
   * text and the version that it was edited from. Distinguishes a retry of the
   * same change from another change with the same id.
   */
  readonly digest: string;
  readonly who: string;
  readonly whenMs: number;
}

/** Value of `audit/<sequence>`. */
export interface AuditRowValue {
  readonly sequence: number;
  readonly changeId: string;
  readonly kind: ChangeKind;
  readonly subject: string;
  /** Team that the change affects, if known. */
  readonly team?: string;
  readonly who: string;
  readonly why: string;
  readonly whenMs: number;
  /** Differences, one per line; at most 100 lines. */
  readonly differences: readonly string[];
}

/** Rows that a change is built from. */
export interface ChangeRows {
  /** Row `config/current`. */
  readonly current: TableRow;
  /** Row that the change modifies. */
  readonly target: TableRow;
  /** Row `changes/<change id>`, read after the other two. */
  readonly change: TableRow;
}

/** Rows that make up the configuration at one sequence number. */
export interface ConfigurationRows {
  readonly current: TableRow;
  readonly documents: readonly TableRow[];
  readonly drains: readonly TableRow[];
}

/** Error in reading or changing the configuration. */
export interface ChangeError extends CodedError {
  readonly code:
    | "change-id-reused"
    | "not-found"
    | "read-unstable"
    | "row-malformed"
    | "store-unavailable";
}

/** Makes the row key of a team's document. */
export function makeDocumentKey(team: string): string {
  return `documents/${team}`;
}

/** Makes the row key of a backend server's drain. */
export function makeDrainKey(instance: string): string {
  return `drains/${instance}`;
}

/** Makes the row key of a quarantined request. */
export function makeQuarantineKey(fingerprint: string): string {
  return `quarantine/${fingerprint}`;
}

/** Makes the row key of a target group. */
export function makeGroupKey(service: string, region: string): string {
  return `groups/${service}/${region}`;
}

/** Makes the row key of a change. */
export function makeChangeKey(changeId: string): string {
  return `changes/${changeId}`;
}

/** Digits of a sequence number in an audit key; padded to sort by number. */
const AUDIT_DIGITS = 12;

/** Makes the row key of an audit row. */
export function makeAuditKey(sequence: number): string {
  return `audit/${String(sequence).padStart(AUDIT_DIGITS, "0")}`;
}

/**
 * Makes the key prefix of the block of up to 100 audit rows that contains a
 * sequence number: all rows whose number differs only in the last two digits.
 */
export function makeAuditPrefix(sequence: number): string {
  return makeAuditKey(sequence).slice(0, -2);
}

/** Returns the sequence number in row `config/current`; 0 if it is absent. */
export function getSequence(current: TableRow): number {
  return typeof current.value === "number" ? current.value : 0;
}

/**
 * Returns the value of a row, cast to `T` without a check; undefined if the row
 * is absent.
 */
export function getRowValue<T>(row: TableRow): T | undefined {
  return row.value === null ? undefined : row.value as JsonValue as T;
}
