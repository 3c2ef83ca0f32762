/**
 * Chooses the entry of a region that acts for the others, the aggregator of
 * loads. An entry that does not answer is skipped for a while.
 *
 * @module
 */

/** Time in milliseconds for which a failed entry is skipped. */
const SKIP_MS = 2_000;

/** Chooses an entry, and remembers the ones that failed. */
export interface AggregatorChoice {
  /** Returns the first process id that is not skipped; undefined if all are.
   * `processIds` are in order of precedence. */
  choose(processIds: readonly string[], nowMs: number): string | undefined;
  /** Skips an entry for a while after a failure. */
  markFailed(processId: string, nowMs: number): void;
}

/** Creates a choice that skips no entry. */
export function createAggregatorChoice(): AggregatorChoice {
  const skippedUntil = new Map<string, number>();
  return {
    choose: (processIds, nowMs) => {
      for (const [id, untilMs] of skippedUntil) {
        if (untilMs <= nowMs) skippedUntil.delete(id);
      }
      return processIds.find((id) => !skippedUntil.has(id));
    },
    markFailed: (processId, nowMs) => {
      skippedUntil.set(processId, nowMs + SKIP_MS);
    },
  };
}
