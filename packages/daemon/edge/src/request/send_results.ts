/**
 * Classifies the results of sends, for the request and for the server.
 *
 * @module
 */

import type { SendOutcome } from "@dotterelmoor/core.placing";
import type { BackendResult } from "@dotterelmoor/network.backend";
import type { RunEnd } from "../process/crash_watch.ts";

/** The result of a send; `held_back` if a change forbade the send after it was
 * decided, but before its first byte was written. */
export type SendResult = BackendResult | { readonly type: "held_back" };

/** What the result of a send means for its request. */
export type SendVerdict = "answer" | "not-run" | "may-have-run" | "stop";

/** The classification of a send's result. */
export interface ResultClassification {
  readonly verdict: SendVerdict;
  /** Recorded for the selection of servers. */
  readonly outcome: SendOutcome;
  /** Recorded to detect crashes of the server. */
  readonly runEnd: RunEnd;
}

/** The classification of each type of result. */
export const SEND_RESULTS: Readonly<
  Record<SendResult["type"], ResultClassification>
> = {
  answered: { verdict: "answer", outcome: "answered", runEnd: "answered" },
  refused: { verdict: "not-run", outcome: "shed", runEnd: "refused" },
  connection_refused: {
    verdict: "not-run",
    outcome: "unreachable",
    runEnd: "unknown",
  },
  held_back: { verdict: "not-run", outcome: "abandoned", runEnd: "unknown" },
  not_authorized: { verdict: "stop", outcome: "abandoned", runEnd: "unknown" },
  connection_lost: {
    verdict: "may-have-run",
    outcome: "failed",
    runEnd: "lost",
  },
  timed_out: { verdict: "stop", outcome: "failed", runEnd: "given_up" },
  incomplete_answer: {
    verdict: "may-have-run",
    outcome: "failed",
    runEnd: "lost",
  },
  cancelled: { verdict: "stop", outcome: "abandoned", runEnd: "given_up" },
};

/** Returns how the run on the server ended; `unknown` if nothing was sent. */
export function getRunEnd(result: SendResult): RunEnd {
  const isUnsent = result.type === "cancelled" && !result.sent;
  return isUnsent ? "unknown" : SEND_RESULTS[result.type].runEnd;
}

/** Multiple of the expected latency, and minimum time in milliseconds beyond
 * it, after which an answer is considered lost or very late. */
const BACKUP_DELAY_FACTOR = 2.5;
const BACKUP_MIN_EXTRA_MS = 150;

/** Computes the delay in milliseconds after which a backup request is sent to a
 * second server. */
export function computeBackupDelay(expectedMs: number): number {
  return Math.max(
    BACKUP_DELAY_FACTOR * expectedMs,
    expectedMs + BACKUP_MIN_EXTRA_MS,
  );
}

/** Results of sends that a server may have run without answering. */
const RUN_RESULTS: ReadonlySet<string> = new Set<SendResult["type"]>([
  "connection_lost",
  "incomplete_answer",
  "timed_out",
]);

/** Returns whether a server may have run the request of a send that brought no
 * answer. */
export function mayHaveRun(result: SendResult): boolean {
  return result.type === "cancelled"
    ? result.sent
    : RUN_RESULTS.has(result.type);
}

/** Resolves with the first answer of a server. If none answers, resolves when
 * all sends have ended, with a result that may have run if there is one. */
export async function waitForFirstAnswer(
  results: readonly Promise<SendResult>[],
): Promise<SendResult> {
  const answered = results.map(async (pending) => {
    const result = await pending;
    if (SEND_RESULTS[result.type].verdict !== "answer") throw result;
    return result;
  });
  return await Promise.any(answered).catch(async () => {
    const all = await Promise.all(results);
    // The outcome must not promise that the request was not run if one of the
    // sends may have run it.
    return all.find(mayHaveRun) ??
      all.find(({ type }) => SEND_RESULTS[type].verdict !== "not-run") ??
      all[0]!;
  });
}
