/**
 * Describes differences between two JSON values.
 *
 * @module
 */

/** Describes what differs, one line for each value. */
export function describeDifferences(
  _before: unknown,
  _after: unknown,
): string[] {
  throw new Error("Not implemented");
}
