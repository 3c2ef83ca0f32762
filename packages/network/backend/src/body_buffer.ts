/**
 * Buffers a response body in memory proportional to its size.
 *
 * @module
 */

/**
 * Collects the parts of a body in one growing block. Stored separately, each
 * part would take about 190 bytes, however short it is.
 */
export class BodyBuffer {
  /** The first part until a second one is appended, then an allocated block. */
  #block: Buffer = Buffer.alloc(0);
  #size = 0;

  /** Appends a part; a first part is not copied. */
  append(part: Buffer): void {
    const size = this.#size + part.length;
    if (this.#size === 0) {
      this.#block = part;
    } else {
      if (size > this.#block.length) this.#grow(size);
      part.copy(this.#block, this.#size);
    }
    this.#size = size;
  }

  /** Returns the body without a copy. */
  take(): Uint8Array {
    return this.#block.subarray(0, this.#size);
  }

  /** Doubles the block, so that the total time for copying is linear. */
  #grow(size: number): void {
    const block = Buffer.allocUnsafeSlow(
      Math.max(size, 2 * this.#block.length),
    );
    this.#block.copy(block, 0, 0, this.#size);
    this.#block = block;
  }
}
