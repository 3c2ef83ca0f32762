/**
 * Collects disposables and disposes of them in reverse order.
 *
 * @module
 */

/** Releases a resource; may be asynchronous. */
export type Dispose = () => void | Promise<void>;

/** Owns resources that are released together. */
export class DisposableStore {
  #disposers: Dispose[] = [];

  /** Registers a resource; the last one added is released first. */
  add(dispose: Dispose): void {
    this.#disposers.push(dispose);
  }

  /**
   * Releases every resource, even if some of them fail.
   *
   * @throws AggregateError with the failures, after all were tried.
   */
  async dispose(): Promise<void> {
    const errors: unknown[] = [];
    while (this.#disposers.length > 0) {
      try {
        await this.#disposers.pop()!();
      } catch (error) {
        errors.push(error);
      }
    }
    if (errors.length > 0) {
      throw new AggregateError(errors, "Cannot release every resource");
    }
  }
}
