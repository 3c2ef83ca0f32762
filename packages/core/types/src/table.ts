/**
 * Operations of the platform's transactional table service.
 *
 * @module
 */

/** Any value that JSON can carry. */
export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | { readonly [key: string]: JsonValue };

/** A row as read; version 0 and a null value mean that it is absent. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
}

/** Condition that a row still has the given version. */
export interface TableCheck {
  readonly key: string;
  readonly version: number;
}

/** New value of a row; null removes it. */
export interface TableWrite {
  readonly key: string;
  readonly value: JsonValue;
}

/** All checks hold and all writes are applied, or nothing happens. */
export interface TableTransaction {
  readonly checks: readonly TableCheck[];
  readonly writes: readonly TableWrite[];
}

/** Result of a transaction; `unavailable` may still have taken effect. */
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

/** An instance in the platform's lagging list. */
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

/** Result of a table operation, as an event of a state machine. */
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

/** Table operation that a state machine asks for. */
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
