/**
 * Error shape shared by all layers.
 *
 * @module
 */

/** An error with a stable code and advice for the person who reads it. */
export interface CodedError {
  readonly code: string;
  readonly message: string;
  readonly hint: string;
}
