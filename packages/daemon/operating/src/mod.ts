/**
 * HTTP interface for operators: documents, history, drains, quarantine, leases and status.
 *
 * @module
 */

export { createConfigurationActions } from "./configuration_actions.ts";
export type {
  ConfigurationActionsOptions,
  ConfigurationTable,
} from "./configuration_actions.ts";
export type {
  AcceptedChange,
  ConfigurationActions,
  DaemonReports,
  DocumentDetails,
  DocumentSubmission,
  DocumentSummary,
  History,
  HistoryOptions,
  LeaseReport,
  OperatorActions,
  OperatorRole,
  OperatorToken,
  QuarantineReport,
} from "./operator_actions.ts";
export type { OperatorError, OperatorErrorCode } from "./operator_error.ts";
export { createOperatorApp } from "./operator_app.ts";
export type {
  OperatorAppOptions,
  OperatorLimits,
  OperatorLog,
} from "./operator_app.ts";
