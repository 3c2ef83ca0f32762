/**
 * Types of built changes and of the options to build them.
 *
 * @module
 */
import type {
  PlatformDocument,
  TableTransaction,
  TeamDocument,
} from "@dotterelmoor/core.types";
import type {
  ChangeAlreadyApplied,
  ChangeConflict,
  ChangeRefused,
} from "./resolution.ts";
import type { ChangeKind, ChangeOrigin, ChangeRows } from "./rows.ts";

/** A change with the transaction that applies it. */
export interface BuiltChange {
  readonly transaction: TableTransaction;
  readonly kind: ChangeKind;
  readonly subject: string;
  readonly changeId: string;
  readonly digest: string;
  /** Sequence number of the change once it is committed. */
  readonly sequence: number;
  /** Rows that the change was built from. */
  readonly rows: ChangeRows;
  /** Submitted document, to describe the differences in a conflict. */
  readonly document?: TeamDocument | PlatformDocument;
}

/** Reason that no transaction is built for a change. */
export type BuildRefusal =
  | ChangeAlreadyApplied
  | ChangeConflict
  | ChangeRefused;

/** Options of `buildSubmission`. */
export interface SubmissionOptions extends ChangeOrigin {
  readonly rows: ChangeRows;
  readonly team: string;
  /** YAML text of the document. */
  readonly text: string;
  /** Parsed `text`. */
  readonly document: TeamDocument | PlatformDocument;
  /** Version that the document was edited from; 0 when there was none. */
  readonly editedFrom: number;
}

/** Options of `buildDrain` and `buildUndrain`. */
export interface DrainOptions extends ChangeOrigin {
  readonly rows: ChangeRows;
  readonly instance: string;
}

/** Options of `buildQuarantineLift`. */
export interface QuarantineLiftOptions extends ChangeOrigin {
  readonly rows: ChangeRows;
  readonly fingerprint: string;
}

/** Options of `buildLeaseRelease`. */
export interface LeaseReleaseOptions extends ChangeOrigin {
  readonly rows: ChangeRows;
  readonly service: string;
  readonly region: string;
}
