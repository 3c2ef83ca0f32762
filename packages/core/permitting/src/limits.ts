/**
 * Durations and shares that ledger and holder have in common.
 *
 * In any window of 1 s, holders whose permits have the rates r send at most the
 * tokens in their buckets at the start of the window plus those that accrue:
 * the sum of r × BUCKET_S + r × CLOCK_RATE. The ledger keeps the sum of r
 * within budget × GRANTED_SHARE, so no window exceeds the budget. A message
 * that is taken whole although it is larger than its holder's bucket adds the
 * excess to this bound.
 *
 * @module
 */

/** Validity of a permit at its holder, from when the request was sent. */
export const LIFETIME_MS = 1_000;

/** Rate of the fastest allowed clock relative to true time. */
const CLOCK_RATE = 1.01;

/**
 * Time for which a ledger counts a permit, from the receipt of the request.
 * Exceeds the lifetime by the rate error of both clocks (2 %) and a margin.
 */
export const HOLD_MS = 1_050;

/** Depth of a holder's bucket, as a duration in seconds at its rate. */
export const BUCKET_S = 0.04;

/** Share of the budget that is granted; the rest is for bursts and clocks. */
export const GRANTED_SHARE = 1 / (CLOCK_RATE + BUCKET_S);

/** Interval between requests; three can be lost before a permit lapses. */
export const REQUEST_INTERVAL_MS = 240;

/** Interval between requests while the holder has no permit. */
export const INITIAL_REQUEST_INTERVAL_MS = 50;
