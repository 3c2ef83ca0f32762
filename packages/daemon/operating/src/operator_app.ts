/**
 * HTTP interface for operators.
 *
 * @module
 */
import Koa from "koa";
import type { OperatorActions, OperatorToken } from "./operator_actions.ts";

/** Bounds of the operators' interface. */
export interface OperatorLimits {
  readonly maxBodyBytes: number;
  readonly maxHistory: number;
}

/** Receives one line for each change and each fault. */
export interface OperatorLog {
  info(fields: Readonly<Record<string, unknown>>, message: string): void;
  warn(fields: Readonly<Record<string, unknown>>, message: string): void;
  error(fields: Readonly<Record<string, unknown>>, message: string): void;
}

/** Options of `createOperatorApp`. */
export interface OperatorAppOptions {
  readonly actions: OperatorActions;
  readonly tokens: readonly OperatorToken[];
  readonly limits?: Partial<OperatorLimits>;
  /** A `pino` logger fits. */
  readonly log: OperatorLog;
  /** Wall clock for audit rows; defaults to `Date.now`. */
  readonly wallClockMs?: () => number;
}

/** Creates the HTTP interface for operators. */
export function createOperatorApp(_options: OperatorAppOptions): Koa {
  throw new Error("Not implemented");
}
