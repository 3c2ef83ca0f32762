/**
 * Turns results of the backend client into outcomes and events.
 *
 * @module
 */

import type { FinishResult } from "@dotterelmoor/core.dispatching";
import type { Outcome } from "@dotterelmoor/core.types";
import type { BackendResult } from "@dotterelmoor/network.backend";

/** A result of a send that was not cancelled. */
export type SendResult = Exclude<BackendResult, { type: "cancelled" }>;

/** How the dispatcher sees a result of the client. */
const FINISH_RESULTS: Readonly<Record<SendResult["type"], FinishResult>> = {
  answered: "answered",
  refused: "refused",
  connection_refused: "connection_refused",
  not_authorized: "refused",
  connection_lost: "connection_lost",
  timed_out: "timed_out",
  incomplete_answer: "connection_lost",
};

/** Returns how a send finished for the dispatcher. */
export function toFinishResult(result: SendResult): FinishResult {
  return FINISH_RESULTS[result.type];
}

/** Returns the outcome, or undefined if the dispatcher decides what follows. */
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
