/**
 * Operations of the operators' interface that go to the table.
 *
 * @module
 */
import type { TableReader } from "@dotterelmoor/config.changing";
import type {
  TableTransaction,
  TransactResult,
} from "@dotterelmoor/core.types";
import type { ConfigurationActions } from "./operator_actions.ts";

/** Operations of the platform's table. */
export interface ConfigurationTable extends TableReader {
  transact(transaction: TableTransaction): Promise<TransactResult>;
}

/** Options of `createConfigurationActions`. */
export interface ConfigurationActionsOptions {
  readonly table: ConfigurationTable;
}

/** Creates the operations that go to the table. */
export function createConfigurationActions(
  _options: ConfigurationActionsOptions,
): ConfigurationActions {
  throw new Error("Not implemented");
}
