/**
 * Operations of the operators' interface.
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

/** Role of a token, in ascending order of permissions. */
export type OperatorRole = "viewer" | "operator" | "admin";

/** A token of the operators' interface. */
export interface OperatorToken {
  /** Name of the author in audit rows. */
  readonly name: string;
  readonly token: string;
  /** Teams that the token covers; `*` covers all teams. */
  readonly teams: readonly string[];
  readonly role: OperatorRole;
}

/** Version and author of a document. */
export interface DocumentSummary {
  readonly team: string;
  readonly version: number;
  readonly who: string;
  readonly whenMs: number;
}

/** A document with its text and parsed content. */
export interface DocumentDetails extends DocumentSummary {
  readonly text: string;
  readonly document: JsonValue;
}

/** Submission of a new version of a document. */
export interface DocumentSubmission extends ChangeOrigin {
  readonly team: string;
  readonly text: string;
  /** Version that the submitter edited; 0 for a new document. */
  readonly editedFrom: number;
}

/** Answer to an accepted change, which is committed to the table. */
export interface AcceptedChange {
  readonly sequence: number;
  /** True when the same change id was applied before. */
  readonly alreadyApplied: boolean;
}

/** Recent changes, newest first. */
export interface History {
  readonly changes: readonly AuditRowValue[];
  /** False if older changes were not searched. */
  readonly complete: boolean;
}

/** Options of `listHistory`. */
export interface HistoryOptions {
  /** Selects the changes to return. */
  readonly isWanted: (change: AuditRowValue) => boolean;
  readonly limit: number;
}

/** Origin of a quarantine lift, and its authorization. */
export interface QuarantineRemoval extends ChangeOrigin {
  /** Returns the team of the quarantined request's service, or an error if the
   * token may not lift its quarantine. */
  readonly checkService: (
    service: string | undefined,
  ) => Result<string | undefined, OperatorError>;
}

/** Operations that read or change the table. */
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

/** Data and notifications that the daemon implements. */
export interface DaemonReports {
  /** Regions, groups, shifts, drains, leases, store and sequence numbers. */
  reportStatus(): JsonValue | Promise<JsonValue>;
  reportQuarantine():
    | readonly QuarantineReport[]
    | Promise<readonly QuarantineReport[]>;
  reportLeases(): readonly LeaseReport[] | Promise<readonly LeaseReport[]>;
  /** Service of a backend server; undefined if the instance is not known. */
  findInstanceService(instance: string): string | undefined;
  /** Configuration in force in this process. */
  getSnapshot(): ConfigurationSnapshot;
  /** Called with the sequence number of a committed change, before the submitter
   * is answered. */
  notifyChange?(sequence: number): void;
  /** Called after a quarantine was lifted, so that the daemon can propagate it. */
  notifyLift?(fingerprint: string): void;
}

/** All operations of the operators' interface. */
export type OperatorActions = ConfigurationActions & DaemonReports;
