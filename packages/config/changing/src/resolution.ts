/**
 * What may become of a change.
 *
 * @module
 */
import type { ChangeError } from "./rows.ts";

/** The change is in the table. */
export interface ChangeCommitted {
  readonly type: "committed";
  readonly sequence: number;
}

/** The same change id was applied before. */
export interface ChangeAlreadyApplied {
  readonly type: "already-applied";
  readonly sequence: number;
}

/** Another change of the same document won. */
export interface ChangeConflict {
  readonly type: "conflict";
  /** Version in force; 0 when the document does not exist. */
  readonly version: number;
  /** Author of the version in force. */
  readonly who: string;
  readonly whenMs: number;
  /** What differs from the version in force to the submitted one. */
  readonly differences: readonly string[];
}

/** Another change moved the sequence number; read the rows and build again. */
export interface ChangeMustRetry {
  readonly type: "retry";
}

/** The table gave no answer; read `changes/<change id>` back. */
export interface ChangeUnknown {
  readonly type: "unknown";
}

/** The change cannot be applied. */
export interface ChangeRefused {
  readonly type: "refused";
  readonly error: ChangeError;
}

/** What became of a change. */
export type ChangeResolution =
  | ChangeCommitted
  | ChangeAlreadyApplied
  | ChangeConflict
  | ChangeMustRetry
  | ChangeUnknown
  | ChangeRefused;
