/**
 * Bounds on what one answer may make the client read.
 *
 * @module
 */

/** Bytes of the names and values of one head or of the trailers; stated, since
 * the bound of Node.js itself depends on how the process was started. */
export const MAX_HEAD_BYTES = 16 * 1_024;

/**
 * Bytes that are no part of a body: heads, interim answers, chunk lengths and
 * extensions, trailers, line breaks. A server that sends them without end keeps
 * the event loop busy until the deadline, because the parser of Node.js bounds
 * neither interim answers nor spaces. A head and trailers at their bounds fit:
 * the shortest line is four bytes for each byte of a name.
 */
export const MAX_FRAMING_BYTES = 128 * 1_024;

/** Bytes read for each byte of a body: a chunk of one byte takes six. */
export const FRAMING_RATIO = 8;

/** Computes the bytes that may be read when a part of the body has come. */
export function computeMaxRead(bodyBytes: number): number {
  return MAX_FRAMING_BYTES + FRAMING_RATIO * bodyBytes;
}
