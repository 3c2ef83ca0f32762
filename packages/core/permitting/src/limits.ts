/**
 * Durations and shares on which ledger and holder agree.
 *
 * Holders whose permits have the rates r send in a window of 1 s at most the
 * content of their buckets at its start plus what accrues: the sum of
 * r × BUCKET_S + r × CLOCK_RATE. The ledger keeps the sum of r within
 * budget × GRANTED_SHARE, so the window never exceeds the budget. Each message
 * taken as a whole although it is larger than its holder's bucket adds the
 * excess to this bound.
 *
 * @module
 */

/** Validity of a permit at its holder, from before its request. */
export const LIFETIME_MS = 1_000;

/** Fastest clock in relation to true time. */
const CLOCK_RATE = 1.01;

/**
 * Time for which a ledger counts a permit, from the receipt of its request.
 * It exceeds the lifetime by the rate error of both clocks (2 %) and a margin.
 */
export const HOLD_MS = 1_050;

/** Depth of a holder's bucket as a duration at its rate. */
export const BUCKET_S = 0.04;

/** Share of the budget that is granted; the rest is for bursts and clocks. */
export const GRANTED_SHARE = 1 / (CLOCK_RATE + BUCKET_S);

/** Interval of requests; three may be lost before a permit lapses. */
export const ASK_MS = 240;

/** Interval of requests while the holder has no permit. */
export const ASK_WITHOUT_PERMIT_MS = 50;
