/**
 * A map of bounded size.
 *
 * @module
 */

/** Map that evicts the least recently set entry when it exceeds its size. */
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
