/**
 * Possible outcomes of a configuration change.
 *
 * @module
 */
import type { ChangeError } from "./rows.ts";

/** The change was committed. */
export interface ChangeCommitted {
  readonly type: "committed";
  readonly sequence: number;
}

/** An earlier attempt with the same change id was committed. */
export interface ChangeAlreadyApplied {
  readonly type: "already-applied";
  /** Sequence number of the earlier attempt. */
  readonly sequence: number;
}

/** The document is no longer at the version that it was edited from. */
export interface ChangeConflict {
  readonly type: "conflict";
  /** Current version; 0 when the document does not exist. */
  readonly version: number;
  /** Author of the current version; empty when there is none. */
  readonly who: string;
  /** Time of the current version in milliseconds since 1970; 0 without one. */
  readonly whenMs: number;
  /** Differences from the current version to the submitted one. */
  readonly differences: readonly string[];
}

/**
 * Another change advanced the sequence number: read the rows and build the
 * change again.
 */
export interface ChangeMustRetry {
  readonly type: "retry";
}

/**
 * The table did not respond: the change may have been committed, or may still
 * be. Row `changes/<change id>` exists once it is.
 */
export interface ChangeUnknown {
  readonly type: "unknown";
}

/** The change cannot be applied. */
export interface ChangeRefused {
  readonly type: "refused";
  readonly error: ChangeError;
}

/** Outcome of a change. */
export type ChangeResolution =
  | ChangeCommitted
  | ChangeAlreadyApplied
  | ChangeConflict
  | ChangeMustRetry
  | ChangeUnknown
  | ChangeRefused;
