/**
 * Buffers a response body in memory proportional to its size.
 *
 * @module
 */

import { SEGMENT_BYTES } from "./segment_pool.ts";
import type { SegmentPool } from "./segment_pool.ts";

/**
 * Collects the parts of a body: a short one in one growing block, a longer one
 * in segments of a pool. Stored separately, each part would take about 190
 * bytes, however short it is.
 */
export class BodyBuffer {
  readonly #pool: SegmentPool;
  /** The first part until a second one is appended, then an allocated block of
   * at most a segment's size. */
  #block: Buffer = Buffer.alloc(0);
  /** Bytes used of `#block`. */
  #blockSize = 0;
  #segments: Buffer[] = [];
  /** Bytes used of `#segments`. */
  #segmentsSize = 0;

  constructor(pool: SegmentPool) {
    this.#pool = pool;
  }

  /** Bytes of memory that the body takes. */
  get allocatedBytes(): number {
    return this.#block.length + this.#segments.length * SEGMENT_BYTES;
  }

  /** Appends a part; a first part is not copied. */
  append(part: Buffer): void {
    if (this.#blockSize === 0) {
      this.#block = part;
      this.#blockSize = part.length;
      return;
    }
    const size = this.#blockSize + part.length;
    if (this.#segments.length > 0 || size > SEGMENT_BYTES) {
      this.#appendToSegments(part);
      return;
    }
    if (size > this.#block.length) this.#grow(size);
    part.copy(this.#block, this.#blockSize);
    this.#blockSize = size;
  }

  /** Returns the body, and empties the buffer. */
  take(): Uint8Array {
    const block = this.#block.subarray(0, this.#blockSize);
    const size = this.#blockSize + this.#segmentsSize;
    const body = this.#segments.length === 0
      ? block
      : Buffer.concat([block, ...this.#segments], size);
    this.clear();
    return body;
  }

  /** Empties the buffer, so that its memory can be used for other bodies. */
  clear(): void {
    this.#pool.put(this.#segments);
    this.#segments = [];
    this.#segmentsSize = 0;
    this.#block = Buffer.alloc(0);
    this.#blockSize = 0;
  }

  #appendToSegments(part: Buffer): void {
    for (let copied = 0; copied < part.length;) {
      const offset = this.#segmentsSize % SEGMENT_BYTES;
      if (offset === 0) this.#segments.push(this.#pool.take());
      const count = part.copy(this.#segments.at(-1)!, offset, copied);
      this.#segmentsSize += count;
      copied += count;
    }
  }

  /** Doubles the block, so that the total time for copying is linear. */
  #grow(size: number): void {
    const doubled = Math.min(2 * this.#block.length, SEGMENT_BYTES);
    const block = Buffer.allocUnsafeSlow(Math.max(size, doubled));
    this.#block.copy(block, 0, 0, this.#blockSize);
    this.#block = block;
  }
}
