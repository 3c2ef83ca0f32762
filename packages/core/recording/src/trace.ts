/**
 * Lines of a trace file.
 *
 * @module
 */

import type { CodedError } from "@dotterelmoor/core.types";

/** Creates a state machine; later events of the instance go to it. */
export interface OptionsLine {
  readonly atMs: number;
  readonly module: string;
  /** Tells machines of one module apart; absent for a single one. */
  readonly instance?: string;
  /** Options without functions. */
  readonly options: Readonly<Record<string, unknown>>;
}

/** An event and the actions that followed. */
export interface EventLine {
  readonly atMs: number;
  readonly module: string;
  readonly instance?: string;
  readonly event: Readonly<Record<string, unknown>>;
  /** Random numbers drawn while the event was handled. */
  readonly random?: readonly number[];
  readonly expect: readonly unknown[];
}

/** One line of a trace. */
export type TraceLine = OptionsLine | EventLine;

/** A line that cannot be read. */
export interface TraceError extends CodedError {
  readonly code: "trace_not_json" | "trace_line_invalid";
}

/** Parses a line of a trace file. */
export function parseTraceLine(text: string): TraceLine | TraceError {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return {
      code: "trace_not_json",
      message: "Cannot parse the line as JSON",
      hint: "A trace has one JSON object a line; the file may be cut off",
    };
  }
  if (isLine(value)) return value;
  return {
    code: "trace_line_invalid",
    message: "The line is not part of a trace",
    hint: "Give atMs and module, and options, or event and expect",
  };
}

function isLine(value: unknown): value is TraceLine {
  if (!isObject(value)) return false;
  const { atMs, module, options, event, expect } = value;
  if (typeof atMs !== "number" || typeof module !== "string") return false;
  if (isObject(options)) return true;
  return isObject(event) && typeof event.type === "string" &&
    Array.isArray(expect);
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
