/**
 * Limits of what crosses a link for one request.
 *
 * @module
 */

/** Wait in milliseconds for a byte permit before a request is refused. */
export const LINK_WAIT_MS = 100;

/** Bytes of a frame besides its body and headers. */
const FRAME_OVERHEAD_BYTES = 512;
/** Bytes that the encoding adds to each header. */
const HEADER_OVERHEAD_BYTES = 6;

/** Part of a request or an answer that crosses a link. */
export interface LinkContent {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Computes the bytes of the frame that carries a request or an answer. */
export function computeFrameBytes({ body, headers }: LinkContent): number {
  let bytes = FRAME_OVERHEAD_BYTES + body.byteLength;
  for (const [name, value] of Object.entries(headers)) {
    bytes += name.length + value.length + HEADER_OVERHEAD_BYTES;
  }
  return bytes;
}
