/**
 * What the result of a send means, for its request and about its server.
 *
 * @module
 */

import type { SendOutcome } from "@dotterelmoor/core.placing";
import type { BackendResult } from "@dotterelmoor/network.backend";
import type { RunEnd } from "../process/crash_watch.ts";

/** The result of a send; one is held back if the configuration came to forbid
 * it before the first byte was written. */
export type SendResult = BackendResult | { readonly type: "held_back" };

/** What a send means for its request. */
export type SendVerdict = "answer" | "not-run" | "may-have-run" | "stop";

/** What the result of a send means. */
export interface SendMeaning {
  readonly verdict: SendVerdict;
  /** For the choice of servers. */
  readonly outcome: SendOutcome;
  /** Whether the server may have ended. */
  readonly runEnd: RunEnd;
}

/** How the result of a send is taken, and what it tells about the server. */
export const SEND_RESULTS: Readonly<Record<SendResult["type"], SendMeaning>> = {
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

/** What the result of a send tells of its run, if there was one. */
export function getRunEnd(result: SendResult): RunEnd {
  const isUnsent = result.type === "cancelled" && !result.sent;
  return isUnsent ? "unknown" : SEND_RESULTS[result.type].runEnd;
}

/** Multiple of the expected time, and least time in milliseconds beyond it,
 * after which an answer is taken to be lost or very late. */
const BACKUP_FACTOR = 2.5;
const BACKUP_LEAST_MS = 150;

/** Time in milliseconds after which a second server is asked as well. */
export function computeBackupDelay(expectedMs: number): number {
  return Math.max(BACKUP_FACTOR * expectedMs, expectedMs + BACKUP_LEAST_MS);
}

/** The first answer of a server, or the last result if none answers. */
export async function takeFirstAnswer(
  results: readonly Promise<SendResult>[],
): Promise<SendResult> {
  const answered = results.map(async (pending) => {
    const result = await pending;
    if (SEND_RESULTS[result.type].verdict !== "answer") throw result;
    return result;
  });
  return await Promise.any(answered).catch(async () => {
    const all = await Promise.all(results);
    // What may have run decides over what certainly did not.
    return all.find(({ type }) => SEND_RESULTS[type].verdict !== "not-run") ??
      all[0]!;
  });
}
