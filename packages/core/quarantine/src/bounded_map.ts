/**
 * Map of bounded size.
 *
 * @module
 */

/** Drops the entry that was set longest ago when it is full. */
export class BoundedMap<Value> {
  readonly #max: number;
  readonly #entries = new Map<string, Value>();

  constructor(max: number) {
    this.#max = max;
  }

  get size(): number {
    return this.#entries.size;
  }

  get(key: string): Value | undefined {
    return this.#entries.get(key);
  }

  set(key: string, value: Value): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
    if (this.#entries.size <= this.#max) return;
    const [oldest] = this.#entries.keys();
    this.#entries.delete(oldest!);
  }

  delete(key: string): boolean {
    return this.#entries.delete(key);
  }

  entries(): IterableIterator<[string, Value]> {
    return this.#entries.entries();
  }
}
