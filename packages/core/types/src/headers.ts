/**
 * Headers of requests and answers.
 *
 * @module
 */

/** Values by lower-case name; the values of several lines with one name stand in
 * the order of the lines. */
export type HeaderMap = Readonly<Record<string, string | string[]>>;
