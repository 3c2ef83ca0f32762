/**
 * Packs values once so that they can be sent to many peers.
 *
 * @module
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import { decodeFrame, encodePayload } from "./frames.ts";

/** Largest unpacked value in bytes, the same as the largest frame. */
const MAX_UNPACKED_BYTES = 5 * 1024 * 1024;

/** Packs a value as deflate-compressed CBOR. */
export function packValue(value: unknown): Uint8Array {
  return deflateRawSync(encodePayload(value));
}

/** Unpacks a value; undefined if the bytes are malformed or too large. */
export function unpackValue(bytes: Uint8Array): unknown {
  try {
    const options = { maxOutputLength: MAX_UNPACKED_BYTES };
    return decodeFrame(inflateRawSync(bytes, options));
  } catch {
    // The caller reports the malformed value.
    return undefined;
  }
}
