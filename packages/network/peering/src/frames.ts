/**
 * Frames: a 4-byte big-endian length followed by one CBOR value.
 *
 * @module
 */

import { Encoder } from "cbor-x";
import { isPlainCbor } from "./plain_cbor.ts";

const PREFIX_BYTES = 4;

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** Encodes a value as CBOR. */
export function encodePayload(value: unknown): Buffer {
  return codec.encode(value);
}

/** Encodes a value as a frame; undefined if its payload exceeds `maxBytes`. */
export function encodeFrame(
  value: unknown,
  maxBytes: number,
): Buffer | undefined {
  const payload = encodePayload(value);
  if (payload.length > maxBytes) return undefined;
  const frame = Buffer.allocUnsafe(PREFIX_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.set(payload, PREFIX_BYTES);
  return frame;
}

/** Decodes the payload of a frame; undefined if it is malformed. */
export function decodeFrame(payload: Buffer): unknown {
  if (!isPlainCbor(payload)) return undefined;
  try {
    return codec.decode(payload);
  } catch {
    return undefined;
  }
}

/** Splits a byte stream into the payloads of its frames. */
export class FrameReader {
  #chunks: Buffer[] = [];
  #bufferedLength = 0;
  #payloadLength: number | undefined;

  /** Maximum payload size in bytes; applies from the next `take`. */
  maxBytes: number;

  constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  /** Adds bytes from the stream. */
  add(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#bufferedLength += chunk.length;
  }

  /**
   * Takes the next complete payload, if any. Throws a `RangeError` if it is
   * larger than `maxBytes`.
   */
  take(): Buffer | undefined {
    if (this.#payloadLength === undefined) {
      if (this.#bufferedLength < PREFIX_BYTES) return undefined;
      this.#payloadLength = this.#takeBytes(PREFIX_BYTES).readUInt32BE(0);
    }
    if (this.#payloadLength > this.maxBytes) {
      throw new RangeError(
        `A frame of ${this.#payloadLength} bytes is too large`,
      );
    }
    if (this.#bufferedLength < this.#payloadLength) return undefined;
    const payload = this.#takeBytes(this.#payloadLength);
    this.#payloadLength = undefined;
    return payload;
  }

  #takeBytes(count: number): Buffer {
    const buffered = this.#chunks.length === 1
      ? this.#chunks[0]!
      : Buffer.concat(this.#chunks, this.#bufferedLength);
    const rest = buffered.subarray(count);
    this.#chunks = rest.length > 0 ? [rest] : [];
    this.#bufferedLength = rest.length;
    return buffered.subarray(0, count);
  }
}
