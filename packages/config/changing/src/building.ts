/**
 * Builds one transaction for each change of the configuration.
 *
 * @module
 */
import type {
  PlatformDocument,
  TableTransaction,
  TeamDocument,
} from "@dotterelmoor/core.types";
import type { Result } from "ts-results-es";
import type { ChangeAlreadyApplied, ChangeConflict } from "./resolving.ts";
import type {
  ChangeError,
  ChangeKind,
  ChangeOrigin,
  ChangeRows,
} from "./rows.ts";

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
  | { readonly type: "refused"; readonly error: ChangeError };

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

/** Builds the submission of a document. */
export function buildSubmission(
  _options: SubmissionOptions,
): Result<BuiltChange, BuildRefusal> {
  throw new Error("Not implemented");
}

/** Builds the drain of a backend server. */
export function buildDrain(
  _options: DrainOptions,
): Result<BuiltChange, BuildRefusal> {
  throw new Error("Not implemented");
}

/** Builds the withdrawal of a drain. */
export function buildUndrain(
  _options: DrainOptions,
): Result<BuiltChange, BuildRefusal> {
  throw new Error("Not implemented");
}

/** Builds the lift of a quarantine. */
export function buildQuarantineLift(
  _options: QuarantineLiftOptions,
): Result<BuiltChange, BuildRefusal> {
  throw new Error("Not implemented");
}

/**
 * Builds the release of a target group's lease: marks the group row with
 * `released: true`, which lets any entry of the region take the group over
 * after the sessions of its owner and deputy have lapsed, without waiting for
 * the platform's list.
 */
export function buildLeaseRelease(
  _options: LeaseReleaseOptions,
): Result<BuiltChange, BuildRefusal> {
  throw new Error("Not implemented");
}
