/**
 * Lines of a trace file.
 *
 * @module
 */

import type { CodedError } from "@dotterelmoor/core.types";
import { decodeTraceValue } from "./encoding.ts";

/** Fields of every line. */
interface LineHead {
  readonly atMs: number;
  readonly module: string;
  /** Distinguishes machines of one module; absent for a single machine. */
  readonly instance?: string;
  /** Random numbers drawn while the line was recorded. */
  readonly random?: readonly number[];
}

/** Creation of a state machine, to which later lines of the instance apply. */
export interface OptionsLine extends LineHead {
  /** Options without functions. */
  readonly options: Readonly<Record<string, unknown>>;
}

/** An event and the resulting actions. */
export interface EventLine extends LineHead {
  readonly event: Readonly<Record<string, unknown>>;
  readonly expect: readonly unknown[];
}

/** A call of a method that changes state, and its return value. */
export interface CallLine extends LineHead {
  readonly call: string;
  readonly args: readonly unknown[];
  readonly expect?: unknown;
}

/** One line of a trace. */
export type TraceLine = OptionsLine | EventLine | CallLine;

/** Error of a line that cannot be parsed. */
export interface TraceError extends CodedError {
  readonly code: "trace_not_json" | "trace_line_invalid";
}

/** Parses a line of a trace file, or returns the error. */
export function parseTraceLine(text: string): TraceLine | TraceError {
  let value: unknown;
  try {
    value = decodeTraceValue(JSON.parse(text));
  } catch {
    return {
      code: "trace_not_json",
      message: "Cannot parse the line as JSON",
      hint: "A trace has one JSON object a line; the file may be truncated",
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
  const { atMs, module, options, event, call, args, expect } = value;
  if (typeof atMs !== "number" || typeof module !== "string") return false;
  if (isObject(options)) return true;
  if (typeof call === "string") return Array.isArray(args);
  return isObject(event) && typeof event.type === "string" &&
    Array.isArray(expect);
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
