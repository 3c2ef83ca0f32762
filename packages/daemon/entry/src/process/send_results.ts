/**
 * Converts results of the backend client to outcomes and finish results.
 *
 * @module
 */

import type { FinishResult } from "@dotterelmoor/core.dispatching";
import type { Outcome } from "@dotterelmoor/core.types";
import type { BackendResult } from "@dotterelmoor/network.backend";

/** A result of a send that was not cancelled. */
export type SendResult = Exclude<BackendResult, { type: "cancelled" }>;

/** Finish result of the dispatcher for each result of the client. */
const FINISH_RESULTS: Readonly<Record<SendResult["type"], FinishResult>> = {
  answered: "answered",
  refused: "refused",
  connection_refused: "connection_refused",
  not_authorized: "refused",
  connection_lost: "connection_lost",
  timed_out: "timed_out",
  incomplete_answer: "connection_lost",
};

/** Converts a result of the client to a finish result of the dispatcher. */
export function toFinishResult(result: SendResult): FinishResult {
  return FINISH_RESULTS[result.type];
}

/** Returns the outcome; undefined if the dispatcher decides how to proceed. */
export function toOutcome(
  result: SendResult,
  server: string,
): Outcome | undefined {
  switch (result.type) {
    case "answered":
      return { ...result, server };
    case "connection_lost":
      return { type: "unknown", reason: "connection-lost" };
    case "incomplete_answer":
      return { type: "unknown", reason: "incomplete-answer" };
    case "timed_out":
      return { type: "unknown", reason: "deadline-passed" };
    default:
      return undefined;
  }
}
