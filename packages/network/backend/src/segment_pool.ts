/**
 * Blocks of memory for bodies, which are used again as soon as a body has
 * ended. Without this, the blocks of ended bodies would stay until the next
 * collection of garbage, which Node.js delays for tens of MiB.
 *
 * @module
 */

/** Size of a block. */
export const SEGMENT_BYTES = 64 * 1_024;

/** Pool of blocks of one size. */
export class SegmentPool {
  readonly #maxFree: number;
  readonly #free: Buffer[] = [];

  /** Keeps up to `maxFreeBytes` for later bodies. */
  constructor(maxFreeBytes: number) {
    this.#maxFree = Math.floor(maxFreeBytes / SEGMENT_BYTES);
  }

  /** Takes a block, whose contents are undefined. */
  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES);
  }

  /** Puts blocks back that are no longer used. */
  put(segments: readonly Buffer[]): void {
    const left = this.#maxFree - this.#free.length;
    this.#free.push(...segments.slice(0, Math.max(0, left)));
  }
}
