import test from "ava";
import type {
  ReadResult,
  TableRow,
  TableTransaction,
  TransactResult,
} from "@dotterelmoor/core.types";
import type { ChangeTable } from "./mod.ts";

/**
 * Fault of one transaction. All but `none` respond `unavailable`: after the
 * commit (`answer-lost`), without one (`down`), or with the commit delayed until
 * `commitLate` (`late`).
 */
export type Fault = "none" | "answer-lost" | "down" | "late";

/** In-memory transactional table with fault injection. */
export class MemoryTable implements ChangeTable {
  readonly rows = new Map<string, TableRow>();
  #version = 0;
  #late: TableTransaction[] = [];

  constructor(
    readonly options: {
      readonly takeFault: () => Fault;
      readonly wait: () => Promise<unknown>;
      readonly onCommit?: () => void;
    },
  ) {}

  async read(key: string): Promise<ReadResult> {
    await this.options.wait();
    const row = this.rows.get(key) ?? { key, version: 0, value: null };
    return { type: "rows", rows: [row] };
  }

  async list(prefix: string): Promise<ReadResult> {
    await this.options.wait();
    return { type: "rows", rows: this.listNow(prefix) };
  }

  listNow(prefix: string): TableRow[] {
    return [...this.rows.values()].filter((row) => row.key.startsWith(prefix))
      .sort((a, b) => a.key < b.key ? -1 : 1);
  }

  async transact(transaction: TableTransaction): Promise<TransactResult> {
    await this.options.wait();
    const fault = this.options.takeFault();
    if (fault === "late") this.#late.push(transaction);
    else if (fault !== "down") {
      const result = this.commit(transaction);
      if (fault === "none") return result;
    }
    return { type: "unavailable" };
  }

  /** Commits the oldest delayed transaction; false if there is none. */
  commitLate(): boolean {
    const transaction = this.#late.shift();
    if (transaction) this.commit(transaction);
    return transaction !== undefined;
  }

  commit({ checks, writes }: TableTransaction): TransactResult {
    const rows = checks.flatMap(({ key, version }) => {
      const row = this.rows.get(key) ?? { key, version: 0, value: null };
      return row.version === version ? [] : [row];
    });
    if (rows.length > 0) return { type: "conflict", rows };
    const versions: Record<string, number> = {};
    for (const { key, value } of writes) {
      versions[key] = ++this.#version;
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, { key, version: this.#version, value });
    }
    this.options.onCommit?.();
    return { type: "committed", versions };
  }
}

test("guards against a transaction that is applied in part", (t) => {
  const table = new MemoryTable({
    takeFault: () => "none",
    wait: () => Promise.resolve(),
  });
  const writes = [{ key: "a", value: 1 }, { key: "b", value: 1 }];
  const absent = [{ key: "a", version: 0 }, { key: "b", version: 0 }];
  t.is(table.commit({ checks: absent, writes }).type, "committed");
  t.is(
    table.commit({ checks: absent, writes: [{ key: "c", value: 1 }] }).type,
    "conflict",
  );
  t.deepEqual([...table.rows.keys()], ["a", "b"]);
});
