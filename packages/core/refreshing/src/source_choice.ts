/**
 * Choice of the entry that another one follows.
 *
 * @module
 */

import { SETTLE_MS, SKIP_MS } from "./timings.ts";

/** Chooses the source among the entries of a region, in their order. The choice
 * stays until it fails, or until an entry before it is known to read the
 * store. */
export class SourceChoice {
  readonly #self: string;
  readonly #failedUntilMs = new Map<string, number>();
  #order: readonly string[] = [];
  #source: string | undefined;
  #chosenAtMs = -Infinity;
  #probed = 0;

  constructor(self: string) {
    this.#self = self;
  }

  /** Process id of the source; undefined if no entry can be used. */
  get source(): string | undefined {
    return this.#source;
  }

  /** Number of entries in the region. */
  get entries(): number {
    return this.#order.length;
  }

  /** Position of this entry among those that read the store when the source
   * fails. */
  get rank(): number {
    const others = this.#order.filter((id) => id !== this.#source);
    const index = others.indexOf(this.#self);
    return index === -1 ? 0 : index;
  }

  /** Entries before the source, without this one. */
  get ahead(): readonly string[] {
    const index = this.#order.indexOf(this.#source ?? "");
    return this.#order.slice(0, Math.max(0, index))
      .filter((id) => id !== this.#self);
  }

  /** Lists the first entries in the order, without the source and this one. */
  listFirst(count: number): readonly string[] {
    return this.#order
      .filter((id) => id !== this.#self && id !== this.#source)
      .slice(0, count);
  }

  /** Takes over the order of the live entries. */
  setOrder(order: readonly string[]): void {
    this.#order = order;
  }

  /** Chooses anew if the source is gone or has failed. */
  choose(nowMs: number): void {
    for (const [id, untilMs] of this.#failedUntilMs) {
      if (untilMs <= nowMs) this.#failedUntilMs.delete(id);
    }
    const current = this.#source;
    const isUsable = current !== undefined && this.#order.includes(current) &&
      !this.#failedUntilMs.has(current);
    if (isUsable) return;
    this.#set(
      this.#order.find((id) => !this.#failedUntilMs.has(id)),
      nowMs,
    );
  }

  /** True if the source has had the time to refresh its copy. */
  isSettled(nowMs: number): boolean {
    return nowMs - this.#chosenAtMs >= SETTLE_MS;
  }

  /** Skips an entry for a while. */
  fail(id: string, nowMs: number): void {
    this.#failedUntilMs.set(id, nowMs + SKIP_MS);
  }

  /** Records that an entry reads the store. It becomes the source if it comes
   * before the current one. */
  recordReading(id: string, nowMs: number): void {
    this.#failedUntilMs.delete(id);
    if (this.ahead.includes(id)) this.#set(id, nowMs);
  }

  /** Follows the reader that the source names; false if it cannot be used. A
   * source that names this entry makes it the reader: both would wait for each
   * other. */
  followNamed(reader: string, nowMs: number): boolean {
    const isUsable = this.#order.includes(reader) &&
      !this.#failedUntilMs.has(reader);
    if (isUsable) this.#set(reader, nowMs);
    return isUsable;
  }

  /** Returns the entries before the source in turn; undefined if there are
   * none. */
  takeProbed(): string | undefined {
    const { ahead } = this;
    this.#probed += 1;
    return ahead[this.#probed % Math.max(1, ahead.length)];
  }

  #set(source: string | undefined, nowMs: number): void {
    if (source === this.#source) return;
    this.#source = source;
    this.#chosenAtMs = nowMs;
  }
}
