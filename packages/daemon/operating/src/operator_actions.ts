/**
 * Operations that the operators' interface offers.
 *
 * @module
 */
import type {
  AuditRowValue,
  ChangeOrigin,
  DrainRowValue,
} from "@dotterelmoor/config.changing";
import type {
  ConfigurationSnapshot,
  JsonValue,
} from "@dotterelmoor/core.types";
import type { Result } from "ts-results-es";
import type { OperatorError } from "./operator_error.ts";

/** What a token permits, from least to most. */
export type OperatorRole = "viewer" | "operator" | "admin";

/** A token of the operators' interface. */
export interface OperatorToken {
  /** Author name that audit rows carry. */
  readonly name: string;
  readonly token: string;
  /** Teams that the token reaches; `*` stands for all. */
  readonly teams: readonly string[];
  readonly role: OperatorRole;
}

/** A document as it is listed. */
export interface DocumentSummary {
  readonly team: string;
  readonly version: number;
  readonly who: string;
  readonly whenMs: number;
}

/** A document with its text. */
export interface DocumentDetails extends DocumentSummary {
  readonly text: string;
  readonly document: JsonValue;
}

/** A document as it is submitted. */
export interface DocumentSubmission extends ChangeOrigin {
  readonly team: string;
  readonly text: string;
  readonly editedFrom: number;
}

/** Answer to an accepted change; it is in the table. */
export interface AcceptedChange {
  readonly sequence: number;
  /** True when the same change id was applied before. */
  readonly alreadyApplied: boolean;
}

/** Recent changes, newest first. */
export interface History {
  readonly changes: readonly AuditRowValue[];
  /** False when older changes were not searched. */
  readonly complete: boolean;
}

/** Options of `listHistory`. */
export interface HistoryOptions {
  /** Tells which changes are wanted. */
  readonly isWanted: (change: AuditRowValue) => boolean;
  readonly limit: number;
}

/** Who lifts a quarantine, and whether its service permits that. */
export interface QuarantineRemoval extends ChangeOrigin {
  /** Team of the quarantined request's service, or why it is not permitted. */
  readonly checkService: (
    service: string | undefined,
  ) => Result<string | undefined, OperatorError>;
}

/** Operations that go to the table. */
export interface ConfigurationActions {
  listDocuments(): Promise<Result<DocumentSummary[], OperatorError>>;
  getDocument(team: string): Promise<Result<DocumentDetails, OperatorError>>;
  checkDocument(
    team: string,
    text: string,
  ): Promise<Result<{ readonly version: number }, OperatorError>>;
  submitDocument(
    submission: DocumentSubmission,
  ): Promise<Result<AcceptedChange, OperatorError>>;
  listHistory(options: HistoryOptions): Promise<Result<History, OperatorError>>;
  listDrains(): Promise<Result<DrainRowValue[], OperatorError>>;
  setDrain(
    instance: string,
    origin: ChangeOrigin,
  ): Promise<Result<AcceptedChange, OperatorError>>;
  removeDrain(
    instance: string,
    origin: ChangeOrigin,
  ): Promise<Result<AcceptedChange, OperatorError>>;
  removeQuarantine(
    fingerprint: string,
    options: QuarantineRemoval,
  ): Promise<Result<AcceptedChange, OperatorError>>;
  releaseLease(
    group: { readonly service: string; readonly region: string },
    origin: ChangeOrigin,
  ): Promise<Result<AcceptedChange, OperatorError>>;
}

/** A quarantined request. */
export interface QuarantineReport {
  readonly fingerprint: string;
  readonly service: string;
  readonly [detail: string]: JsonValue;
}

/** Lease of a target group. */
export interface LeaseReport {
  readonly service: string;
  readonly region: string;
  readonly [detail: string]: JsonValue;
}

/** What the daemon knows; the daemon implements it. */
export interface DaemonReports {
  /** Regions, groups, shifts, drains, leases, store and sequence numbers. */
  reportStatus(): JsonValue | Promise<JsonValue>;
  reportQuarantine():
    | readonly QuarantineReport[]
    | Promise<readonly QuarantineReport[]>;
  reportLeases(): readonly LeaseReport[] | Promise<readonly LeaseReport[]>;
  /** Service of a backend server; undefined when the instance is not known. */
  findInstanceService(instance: string): string | undefined;
  /** Configuration in force here. */
  getSnapshot(): ConfigurationSnapshot;
  /** Learns of a committed change before its submitter does. */
  notifyChange?(sequence: number): void;
  /** Learns of a lifted quarantine, to spread the lift. */
  notifyLift?(fingerprint: string): void;
}

/** All operations of the operators' interface. */
export type OperatorActions = ConfigurationActions & DaemonReports;
