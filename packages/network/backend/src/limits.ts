/**
 * Limits on the bytes read for one response.
 *
 * @module
 */

/** Largest size of the names and values in one head or in the trailers. Set
 * here because the default of Node.js depends on the process's flags. */
export const MAX_HEAD_BYTES = 16 * 1_024;

/**
 * Largest number of bytes outside a body: heads, interim responses, chunk
 * lengths and extensions, trailers, line breaks. Without this limit, a server
 * that sends them endlessly would keep the event loop busy until the deadline,
 * because Node.js's parser bounds neither interim responses nor spaces. A head
 * and trailers of `MAX_HEAD_BYTES` each fit: the shortest header line takes
 * four bytes for each byte of its name.
 */
export const MAX_FRAMING_BYTES = 128 * 1_024;

/** Bytes that may be read for each byte of a body: a chunk of one byte takes
 * six. */
export const FRAMING_RATIO = 8;

/** Computes how many bytes of a response may be read in total, given the bytes
 * of its body so far. */
export function computeMaxRead(bodyBytes: number): number {
  return MAX_FRAMING_BYTES + FRAMING_RATIO * bodyBytes;
}
