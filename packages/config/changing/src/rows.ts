/**
 * Keys and values of the rows that hold the configuration.
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

/** Key of the row with the sequence number; its value is the number itself. */
export const CURRENT_KEY = "config/current";

/** Name under which the platform's document is kept. */
export const PLATFORM_TEAM = "platform";

/** What a change alters. */
export type ChangeKind =
  | "document"
  | "drain"
  | "undrain"
  | "quarantine-lift"
  | "lease-release";

/** Who changes something, why and when. */
export interface ChangeOrigin {
  /** Chosen by the submitter; the same id is applied once. */
  readonly changeId: string;
  readonly who: string;
  readonly why: string;
  /** Wall-clock time in milliseconds since 1970. */
  readonly whenMs: number;
  /** Team that the change concerns, when it is known. */
  readonly team?: string;
}

/** Value of `documents/<team>`. */
export interface DocumentRowValue {
  readonly team: string;
  /** Sequence number of the change that wrote this value. */
  readonly version: number;
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
  /** Team, instance, fingerprint or `service/region`. */
  readonly subject: string;
  /** SHA-256 of what was submitted; tells a repeat from a reused id. */
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
  /** Team that the change concerns, when it is known. */
  readonly team?: string;
  readonly who: string;
  readonly why: string;
  readonly whenMs: number;
  /** What differs, one line each; bounded. */
  readonly differences: readonly string[];
}

/** Rows that a change is built from. */
export interface ChangeRows {
  /** Row `config/current`. */
  readonly current: TableRow;
  /** Row that the change alters. */
  readonly target: TableRow;
  /** Row `changes/<change id>`, read after the two others. */
  readonly change: TableRow;
}

/** Rows that make up the configuration at one sequence number. */
export interface ConfigurationRows {
  readonly current: TableRow;
  readonly documents: readonly TableRow[];
  readonly drains: readonly TableRow[];
}

/** Error of reading or changing the configuration. */
export interface ChangeError extends CodedError {
  readonly code:
    | "change-id-reused"
    | "not-found"
    | "read-unstable"
    | "row-malformed"
    | "store-unavailable";
}

/** Key of a document's row. */
export function makeDocumentKey(team: string): string {
  return `documents/${team}`;
}

/** Key of a drain's row. */
export function makeDrainKey(instance: string): string {
  return `drains/${instance}`;
}

/** Key of a quarantined request's row. */
export function makeQuarantineKey(fingerprint: string): string {
  return `quarantine/${fingerprint}`;
}

/** Key of a target group's row. */
export function makeGroupKey(service: string, region: string): string {
  return `groups/${service}/${region}`;
}

/** Key of a change's row. */
export function makeChangeKey(changeId: string): string {
  return `changes/${changeId}`;
}

/** Digits of a sequence number in an audit key, so that keys sort by number. */
const AUDIT_DIGITS = 12;

/** Key of an audit row. */
export function makeAuditKey(sequence: number): string {
  return `audit/${String(sequence).padStart(AUDIT_DIGITS, "0")}`;
}

/** Prefix of the up to 100 audit rows around a sequence number. */
export function makeAuditPrefix(sequence: number): string {
  return makeAuditKey(sequence).slice(0, -2);
}

/** Sequence number in row `config/current`; 0 when the row is absent. */
export function getSequence(current: TableRow): number {
  return typeof current.value === "number" ? current.value : 0;
}

/** Value of a row as the type that its key implies; undefined when absent. */
export function getRowValue<T>(row: TableRow): T | undefined {
  return row.value === null ? undefined : row.value as JsonValue as T;
}
