/**
 * Types of the platform's transactional table service.
 *
 * @module
 */

/** Any JSON value. */
export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | { readonly [key: string]: JsonValue };

/** A row that was read; version 0 and a null value if it does not exist. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
}

/** Precondition that a row has the given version. */
export interface TableCheck {
  readonly key: string;
  readonly version: number;
}

/** New value of a row; null deletes the row. */
export interface TableWrite {
  readonly key: string;
  readonly value: JsonValue;
}

/** Atomic transaction: if all checks hold, all writes are applied, else
 * none. */
export interface TableTransaction {
  readonly checks: readonly TableCheck[];
  readonly writes: readonly TableWrite[];
}

/** Result of a transaction. After `unavailable`, the transaction may have been
 * applied. */
export type TransactResult =
  | {
    readonly type: "committed";
    readonly versions: Readonly<Record<string, number>>;
  }
  | { readonly type: "conflict"; readonly rows: readonly TableRow[] }
  | { readonly type: "unavailable" };

/** Result of reading a row or a range of rows. */
export type ReadResult =
  | { readonly type: "rows"; readonly rows: readonly TableRow[] }
  | { readonly type: "unavailable" };

/** An instance in the platform's list of instances, which lags behind. */
export interface ListedInstance {
  readonly id: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly region: string;
  readonly zone: string;
  readonly state: "live" | "leaving";
  readonly slots: number;
  readonly connections: number;
}

/** Event with the result of a table operation. */
export type TableEvent =
  | {
    readonly type: "transacted";
    readonly operationId: number;
    readonly result: TransactResult;
  }
  | {
    readonly type: "rows_read";
    readonly operationId: number;
    readonly result: ReadResult;
  };

/** Action that requests a table operation. */
export type TableAction =
  | {
    readonly type: "transact";
    readonly operationId: number;
    readonly transaction: TableTransaction;
  }
  | {
    readonly type: "read";
    readonly operationId: number;
    readonly key: string;
  };
