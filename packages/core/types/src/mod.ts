/**
 * Types shared by the decision library, the daemons and the tools.
 *
 * @module
 */

export type { CodedError } from "./coded_error.ts";
export type {
  ClientBlock,
  ConfigurationSnapshot,
  LinkDocument,
  PlatformDocument,
  PlatformLimits,
  Priority,
  RegionDocument,
  RequestKind,
  RetryLimits,
  ServiceDocument,
  ShiftLimits,
  TeamDocument,
} from "./configuration.ts";
export { DisposableStore } from "./disposable_store.ts";
export type { Dispose } from "./disposable_store.ts";
export { applyEvent } from "./event_handlers.ts";
export type { EventHandlers } from "./event_handlers.ts";
export type { HeaderMap } from "./headers.ts";
export type {
  Answered,
  NotRun,
  NotRunReason,
  Outcome,
  OutcomeUnknown,
  UnknownReason,
} from "./outcome.ts";
export type { Random, StateMachine } from "./state_machine.ts";
export type {
  JsonValue,
  ListedInstance,
  ReadResult,
  TableAction,
  TableCheck,
  TableEvent,
  TableRow,
  TableTransaction,
  TableWrite,
  TransactResult,
} from "./table.ts";
