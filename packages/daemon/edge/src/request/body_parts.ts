/**
 * Keeps the parts of a body, which are sent on without a copy of the whole.
 *
 * @module
 */

import type { RequestBody } from "@dotterelmoor/network.backend";

/** Shortest part that is kept as it is, and size of the blocks to which shorter
 * ones are copied. Kept separately, each would take about 190 bytes, however
 * short it is. */
const PART_BYTES = 16 * 1_024;

/** The parts of one body. */
export class BodyParts {
  #parts: Uint8Array[] = [];
  /** Block with the latest short parts, and the bytes used of it. */
  #block = Buffer.alloc(0);
  #blockSize = 0;
  #size = 0;

  /** Number of bytes in all parts. */
  get size(): number {
    return this.#size;
  }

  /** Appends a part; a first or a long one is not copied. */
  append(part: Buffer): void {
    const isKept = this.#size === 0 || part.length >= PART_BYTES;
    this.#size += part.length;
    if (isKept) {
      this.#closeBlock();
      this.#parts.push(part);
      return;
    }
    for (let copied = 0; copied < part.length;) {
      if (this.#blockSize === this.#block.length) {
        this.#closeBlock();
        this.#block = Buffer.allocUnsafeSlow(PART_BYTES);
      }
      const count = part.copy(this.#block, this.#blockSize, copied);
      this.#blockSize += count;
      copied += count;
    }
  }

  /** Returns the body, and forgets it. */
  take(): RequestBody {
    this.#closeBlock();
    const parts = this.#parts;
    this.clear();
    return parts.length === 1 ? parts[0]! : parts;
  }

  /** Forgets all parts. */
  clear(): void {
    this.#parts = [];
    this.#block = Buffer.alloc(0);
    this.#blockSize = 0;
    this.#size = 0;
  }

  #closeBlock(): void {
    if (this.#blockSize === 0) return;
    this.#parts.push(this.#block.subarray(0, this.#blockSize));
    this.#block = this.#block.subarray(this.#blockSize);
    this.#blockSize = 0;
  }
}
