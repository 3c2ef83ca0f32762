/**
 * Durations and shares that ledger and holder agree on.
 *
 * @module
 */

/** Validity of a permit. */
export const PERMIT_LIFETIME_MS = 1_000;

/** Bucket depth as time at the permitted rate. */
export const BUCKET_MS = 40;

/**
 * Share of the budget that permits may add up to. With full buckets a window
 * of 1 s carries at most 1.04 times this share, which is below the budget.
 */
export const GRANTED_SHARE = 0.95;

/** Share of the budget that a holder asks for at least. */
export const MIN_DEMAND_SHARE = 0.02;
