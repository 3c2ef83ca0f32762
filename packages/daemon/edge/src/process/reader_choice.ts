/**
 * Chooses which entry of a region reads the store.
 *
 * Calls to the store are paid for, and each entry's reads are the same. One
 * entry of a region reads, and the others follow it; one that cannot read, or
 * cannot be asked, is passed over for a while.
 *
 * @module
 */

/** Time in milliseconds for which an entry that failed is passed over; shorter
 * than the time within which a change must be in force. */
const PASS_OVER_MS = 2_000;

/** The entry that this one learns from. */
export interface ReaderChoice {
  /** First of the process ids, in the order of the entries, that is not passed
   * over; undefined if all are. */
  choose(processIds: readonly string[], nowMs: number): string | undefined;
  passOver(processId: string, nowMs: number): void;
}

/** Creates a choice. */
export function createReaderChoice(): ReaderChoice {
  const passedOver = new Map<string, number>();
  return {
    choose: (processIds, nowMs) => {
      for (const [id, untilMs] of passedOver) {
        if (untilMs <= nowMs) passedOver.delete(id);
      }
      return processIds.find((id) => !passedOver.has(id));
    },
    passOver: (processId, nowMs) => {
      passedOver.set(processId, nowMs + PASS_OVER_MS);
    },
  };
}
