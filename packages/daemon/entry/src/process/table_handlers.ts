/**
 * Runs the table operations of a state machine on the platform.
 *
 * @module
 */

import type { TableAction, TableEvent } from "@dotterelmoor/core.types";
import type { PlatformClient } from "@dotterelmoor/network.platform";
import type { ActionHandlers } from "./machine_driver.ts";

/** Handlers of the actions `transact` and `read`. */
export type TableHandlers = ActionHandlers<TableAction>;

/** Creates the handlers, which send each result back as an event. */
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
