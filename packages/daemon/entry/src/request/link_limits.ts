/**
 * Size and wait limits of a request that is sent over a link.
 *
 * @module
 */

import type { HeaderMap } from "@dotterelmoor/core.types";

/** Maximum wait for a byte permit before a request is refused. */
export const LINK_WAIT_MS = 100;

/** Bytes of a frame excluding its body and headers. */
const FRAME_OVERHEAD_BYTES = 512;
/** Encoding overhead of each header. */
const HEADER_OVERHEAD_BYTES = 6;

/** Headers and body of a request or an answer. */
export interface LinkContent {
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
}

/** Computes the size in bytes of the frame for a request or an answer. */
export function computeFrameBytes({ body, headers }: LinkContent): number {
  let bytes = FRAME_OVERHEAD_BYTES + body.byteLength;
  for (const [name, values] of Object.entries(headers)) {
    for (const value of [values].flat()) {
      bytes += name.length + value.length + HEADER_OVERHEAD_BYTES;
    }
  }
  return bytes;
}
