/**
 * Error shape shared by all layers.
 *
 * @module
 */

/** An error with a stable code and advice for the person who reads it. */
export interface CodedError {
  /** Stable code, for programs. */
  readonly code: string;
  readonly message: string;
  /** Advice on how to fix the cause. */
  readonly hint: string;
}
