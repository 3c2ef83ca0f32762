/**
 * Collects the parts of a body in memory proportional to its size.
 *
 * @module
 */

/**
 * A body in one growing block. Parts that are kept apart take some 190 bytes
 * each, however short they are.
 */
export class BodyBuffer {
  /** The first part itself until a second one comes, then a block of its own. */
  #block: Buffer = Buffer.alloc(0);
  #size = 0;

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

  /** Doubles the block, so that all copies together take linear time. */
  #grow(size: number): void {
    const block = Buffer.allocUnsafeSlow(
      Math.max(size, 2 * this.#block.length),
    );
    this.#block.copy(block, 0, 0, this.#size);
    this.#block = block;
  }
}
