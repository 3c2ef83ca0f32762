/**
 * Virtual time and a transactional table with faults, for property tests.
 *
 * @module
 */

import type {
  JsonValue,
  ReadResult,
  TableRow,
  TableTransaction,
  TransactResult,
} from "@dotterelmoor/core.types";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Creates a reproducible source of random numbers. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Runs callbacks in the order of their virtual times. */
export class VirtualTime {
  nowMs = 0;
  #last = 0;
  readonly #queue: { atMs: number; id: number; run: () => void }[] = [];

  after(delayMs: number, run: () => void): void {
    const entry = { atMs: this.nowMs + delayMs, id: ++this.#last, run };
    let low = 0;
    let high = this.#queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      // Sorted in descending order, so that the next callback is the last.
      if (this.#queue[middle]!.atMs > entry.atMs) low = middle + 1;
      else high = middle;
    }
    this.#queue.splice(low, 0, entry);
  }

  runUntil(endMs: number): void {
    while ((this.#queue.at(-1)?.atMs ?? Infinity) <= endMs) {
      const entry = this.#queue.pop()!;
      this.nowMs = entry.atMs;
      entry.run();
    }
    this.nowMs = endMs;
  }
}

/** In-memory table with atomic transactions; versions of a key only grow. */
export class MemoryTable {
  readonly rows = new Map<string, TableRow>();
  readonly #versions = new Map<string, number>();

  read(key: string): TableRow {
    return this.rows.get(key) ?? { key, version: 0, value: null };
  }

  transact({ checks, writes }: TableTransaction): TransactResult {
    const conflicts = checks
      .filter(({ key, version }) => this.read(key).version !== version)
      .map(({ key }) => this.read(key));
    if (conflicts.length > 0) return { type: "conflict", rows: conflicts };
    const versions = Object.fromEntries(
      writes.map(({ key, value }) => [key, this.write(key, value)]),
    );
    return { type: "committed", versions };
  }

  write(key: string, value: JsonValue): number {
    const version = (this.#versions.get(key) ?? 0) + 1;
    this.#versions.set(key, version);
    if (value === null) this.rows.delete(key);
    else this.rows.set(key, { key, version, value });
    return version;
  }
}

/** Access of one process to the table, with lost and late operations. */
export interface TableAccess {
  readonly time: VirtualTime;
  readonly table: MemoryTable;
  readonly random: () => number;
  /** Returns the share of operations, 0 to 1, that lose a request or answer. */
  readonly lossRate: () => number;
}

/** Sends a transaction; if it is lost, it may take effect up to 30 s later. */
export function submitTransaction(
  access: TableAccess,
  transaction: TableTransaction,
  answer: (result: TransactResult) => void,
): void {
  const { time, table, random } = access;
  const apply = () => table.transact(transaction);
  if (random() >= access.lossRate()) {
    time.after(1 + random() * 15, () => {
      const result = apply();
      time.after(1 + random() * 15, () => answer(result));
    });
    return;
  }
  const roll = random();
  if (roll < 0.25) time.after(random() * 20, apply);
  else if (roll < 0.6) time.after(random() ** 2 * 30_000, apply);
  time.after(200 + random() * 1_500, () => answer({ type: "unavailable" }));
}

/** Reads one row; a lost read is answered as unavailable. */
export function submitRead(
  access: TableAccess,
  key: string,
  answer: (result: ReadResult) => void,
): void {
  const { time, table, random } = access;
  if (random() < access.lossRate()) {
    time.after(200 + random() * 1_500, () => answer({ type: "unavailable" }));
    return;
  }
  time.after(1 + random() * 15, () => {
    const rows = [table.read(key)];
    time.after(1 + random() * 15, () => answer({ type: "rows", rows }));
  });
}
