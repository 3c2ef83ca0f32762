/**
 * Types of changes that are built and of what they are built from.
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

/** A change that is ready to be sent to the table. */
export interface BuiltChange {
  readonly transaction: TableTransaction;
  readonly kind: ChangeKind;
  readonly subject: string;
  readonly changeId: string;
  readonly digest: string;
  /** Sequence number that the change gets when it is committed. */
  readonly sequence: number;
  readonly rows: ChangeRows;
  /** Document that was submitted, for differences with a winner. */
  readonly document?: TeamDocument | PlatformDocument;
}

/** Why a change needs no transaction or cannot have one. */
export type BuildRefusal =
  | ChangeAlreadyApplied
  | ChangeConflict
  | ChangeRefused;

/** Options of `buildSubmission`. */
export interface SubmissionOptions extends ChangeOrigin {
  readonly rows: ChangeRows;
  readonly team: string;
  readonly text: string;
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
