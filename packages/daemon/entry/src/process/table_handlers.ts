/**
 * Carries out table operations for a state machine.
 *
 * @module
 */

import type {
  ReadResult,
  TableTransaction,
  TransactResult,
} from "@dotterelmoor/core.types";
import type { PlatformClient } from "@dotterelmoor/network.platform";

/** Result of an operation, as the machine takes it. */
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

/** Handlers of the actions `transact` and `read`. */
export interface TableHandlers {
  readonly transact: (action: {
    readonly operationId: number;
    readonly transaction: TableTransaction;
  }) => void;
  readonly read: (action: {
    readonly operationId: number;
    readonly key: string;
  }) => void;
}

/** Creates the handlers; each result goes back as an event. */
export function createTableHandlers(
  platform: PlatformClient,
  send: (event: TableEvent) => void,
): TableHandlers {
  return {
    transact: ({ operationId, transaction }) => {
      platform.transact(transaction).then((result) =>
        send({ type: "transacted", operationId, result })
      );
    },
    read: ({ operationId, key }) => {
      platform.read(key).then((result) =>
        send({ type: "rows_read", operationId, result })
      );
    },
  };
}
